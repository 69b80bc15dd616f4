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
 * Copies the state for a snapshot that is written while further commands are
 * applied. Commands modify the lists and records of catalog and ledger in place,
 * but replace the values in them, so deeper levels need no copy.
 */
export const copyState = ({catalog, ledger}: ReplicatedState): ReplicatedState => ({catalog: copyFields(catalog), ledger: copyFields(ledger)});

/** Yields the canonical JSON of `value` in parts; values `depth` levels below it are not divided further. */
function * canonicalParts(value: unknown, depth: number): Generator<string> {
	if (depth === 0 || value === null || typeof value !== 'object') {
		yield canonicalJson(value);
		return;
	}

	if (Array.isArray(value)) {
		yield '[';
		for (const [index, item] of value.entries()) {
			yield index === 0 ? '' : ',';
			yield * canonicalParts(item, depth - 1);
		}

		yield ']';
		return;
	}

	const record = value as Record<string, unknown>;
	const keys = Object.keys(record).filter(key => record[key] !== undefined).toSorted();
	yield '{';
	for (const [index, key] of keys.entries()) {
		yield `${index === 0 ? '' : ','}${JSON.stringify(key)}:`;
		yield * canonicalParts(record[key], depth - 1);
	}

	yield '}';
}

/** State, then catalog or ledger, then their lists and records: the values below are single hosts, claims or results. */
const stateDepth = 3;

export type CanonicalStepsOptions = {
	/** Yields to the event loop. */
	pause(): Promise<void>;
	/** @default 32768 */
	readonly stepCharacters?: number;
};

/** Returns the same text as `canonicalJson`, but yields in between: serialized at once, a large state blocks the event loop for as long as an election takes. */
export const canonicalJsonInSteps = async (state: ReplicatedState, {pause, stepCharacters = 32_768}: CanonicalStepsOptions): Promise<string> => {
	const chunks: string[] = [];
	let parts: string[] = [];
	let characters = 0;
	for (const part of canonicalParts(state, stateDepth)) {
		parts.push(part);
		characters += part.length;
		if (characters >= stepCharacters) {
			chunks.push(parts.join(''));
			parts = [];
			characters = 0;
			await pause();
		}
	}

	chunks.push(parts.join(''));
	return chunks.join('');
};
