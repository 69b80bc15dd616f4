import type {ReplicatedState} from './apply-command.js';
import {canonicalJson} from './canonical-json.js';

const copyField = (field: unknown): unknown => {
	if (Array.isArray(field)) {
		return [...field as unknown[]];
	}

	return field !== null && typeof field === 'object' ? {...field} : field;
};

const copyFields = <Value extends object>(value: Value): Value => Object.fromEntries(Object.entries(value).map(([name, field]) => [name, copyField(field)])) as Value;

/**
 * The state as it is now, for a snapshot that is written while commands go on
 * being applied. They change the lists and records of both halves in place,
 * but replace what is in them: so the copy ends there.
 */
export const freezeState = ({catalog, ledger}: ReplicatedState): ReplicatedState => ({catalog: copyFields(catalog), ledger: copyFields(ledger)});

/** The canonical text of `value` in parts, each no more than what lies `levels` below it. */
function * canonicalParts(value: unknown, levels: number): Generator<string> {
	if (levels === 0 || value === null || typeof value !== 'object') {
		yield canonicalJson(value);
		return;
	}

	if (Array.isArray(value)) {
		yield '[';
		for (const [position, item] of value.entries()) {
			yield position === 0 ? '' : ',';
			yield * canonicalParts(item, levels - 1);
		}

		yield ']';
		return;
	}

	const record = value as Record<string, unknown>;
	const keys = Object.keys(record).filter(key => record[key] !== undefined).toSorted();
	yield '{';
	for (const [position, key] of keys.entries()) {
		yield `${position === 0 ? '' : ','}${JSON.stringify(key)}:`;
		yield * canonicalParts(record[key], levels - 1);
	}

	yield '}';
}

/** State, half, list or record of the half: what is below that is one host, claim or result. */
const stateLevels = 3;

export type CanonicalStepsOptions = {
	/** Lets others have the loop. */
	pause(): Promise<void>;
	/** @default 32768 */
	readonly stepCharacters?: number;
};

/** The same text as `canonicalJson`, made in steps: in one piece it stalls the loop for as long as an election takes. */
export const canonicalJsonInSteps = async (state: ReplicatedState, {pause, stepCharacters = 32_768}: CanonicalStepsOptions): Promise<string> => {
	const steps: string[] = [];
	let parts: string[] = [];
	let characters = 0;
	for (const part of canonicalParts(state, stateLevels)) {
		parts.push(part);
		characters += part.length;
		if (characters >= stepCharacters) {
			steps.push(parts.join(''));
			parts = [];
			characters = 0;
			await pause();
		}
	}

	steps.push(parts.join(''));
	return steps.join('');
};
