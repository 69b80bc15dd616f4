import {applyChange} from './apply-change.js';
import {applyClaim, concludeClaim, moveClaim} from './claims.js';
import {digestOf} from './digest.js';
import {lengthOf, takeFirst} from './ledger-lists.js';
import type {
	Catalog, Change, Command, CommandResult, Ledger,
} from './types.js';

/** Results kept for resends; older ones are forgotten, oldest first. */
export const keptResults = 20_000;

export type ReplicatedState = {readonly catalog: Catalog; readonly ledger: Ledger};

/**
 * Applies one committed command. A command id that was applied before gives
 * its first result again: without this, an operator who lost the answer and
 * resends would run the order twice. Under the id of another change it is
 * refused: without this, its sender would take the other's result for its own.
 */
export const applyCommand = (state: ReplicatedState, command: Command, index: number): CommandResult => {
	const {catalog, ledger} = state;
	// Only own properties: an id such as `constructor` would otherwise seem to have been applied before.
	if (command.commandId !== null && Object.hasOwn(ledger.results, command.commandId)) {
		const first = ledger.results[command.commandId]!;
		return isOfChange(ledger, command.commandId, command.change) ? first : refuseClash(catalog, command, first);
	}

	const result = applyOnce(state, command, index);
	if (command.commandId !== null) {
		rememberResult(ledger, command.commandId, command.change, result);
	}

	return result;
};

/**
 * Half a SHA-256 over the change alone, in hexadecimal. The expected revision
 * isn't part of it: who lost the answer may read a newer one before the resend.
 */
const changeDigest = (change: Change): string => digestOf(change).slice(0, 32);

/** A result from a snapshot without digests is taken to be of the same change, as it was when it was kept. */
const isOfChange = ({resultDigests = {}}: Ledger, commandId: string, change: Change): boolean =>
	!Object.hasOwn(resultDigests, commandId) || resultDigests[commandId] === changeDigest(change);

const refuseClash = (catalog: Catalog, {commandId, change}: Command, first: CommandResult): CommandResult => {
	const outcome = 'revision' in first ? `${first.type} at revision ${first.revision}` : first.type;
	return {
		type: 'refused', code: 'conflict', revision: catalog.revision,
		message: `command id ${commandId} already stands for another change (${outcome}); this ${change.type} was not carried out: give it an id of its own`,
	};
};

const applyOnce = ({catalog, ledger}: ReplicatedState, {change, ifRevision}: Command, index: number): CommandResult => {
	if (change.type === 'claim') {
		return applyClaim(ledger, change);
	}

	if (change.type === 'moveClaim') {
		return moveClaim(ledger, change, index);
	}

	if (change.type === 'concludeClaim') {
		return concludeClaim(ledger, change, index);
	}

	if (change.type === 'noop') {
		return {type: 'accepted', revision: catalog.revision};
	}

	if (ifRevision !== null && ifRevision !== catalog.revision) {
		return {
			type: 'refused', code: 'conflict', message: `expected revision ${ifRevision}, it is ${catalog.revision}`, revision: catalog.revision,
		};
	}

	const refusal = applyChange(catalog, change, index);
	return refusal === null
		? {type: 'accepted', revision: index}
		: {type: 'refused', ...refusal, revision: catalog.revision};
};

const rememberResult = (ledger: Ledger, commandId: string, change: Change, result: CommandResult): void => {
	ledger.resultDigests ??= {};
	ledger.results[commandId] = result;
	ledger.resultDigests[commandId] = changeDigest(change);
	ledger.resultOrder.push(commandId);
	if (lengthOf(ledger, 'resultOrder') > keptResults) {
		const oldest = takeFirst(ledger, 'resultOrder');
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete ledger.results[oldest];
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete ledger.resultDigests[oldest];
	}
};
