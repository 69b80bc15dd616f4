import {applyChange} from './apply-change.js';
import {applyClaim, concludeClaim, moveClaim} from './claims.js';
import {digestOf} from './digest.js';
import {remainingLength, removeFirst} from './ledger-lists.js';
import type {
	Catalog, Change, Command, CommandResult, Ledger,
} from './types.js';

/** Number of results retained for retries; the oldest are removed first. */
export const maxRetainedResults = 20_000;

export type ReplicatedState = {readonly catalog: Catalog; readonly ledger: Ledger};

/**
 * Applies one committed command. A command id that was applied before returns
 * its first result again: otherwise a retry after a lost response would apply
 * the change twice. A different change under the same id is refused: otherwise
 * its sender would mistake the other change's result for its own.
 */
export const applyCommand = (state: ReplicatedState, command: Command, index: number): CommandResult => {
	const {catalog, ledger} = state;
	// Checks own properties only: an id such as `constructor` would otherwise seem to have been applied before.
	if (command.commandId !== null && Object.hasOwn(ledger.results, command.commandId)) {
		const firstResult = ledger.results[command.commandId]!;
		return isSameChange(ledger, command.commandId, command.change) ? firstResult : refuseReusedId(catalog, command, firstResult);
	}

	const result = applyOnce(state, command, index);
	if (command.commandId !== null) {
		storeResult(ledger, command.commandId, command.change, result);
	}

	return result;
};

/**
 * The first half of a SHA-256 of the change, in hexadecimal. It excludes the
 * expected revision: a sender that lost the response may read a newer revision
 * before it retries.
 */
const changeDigest = (change: Change): string => digestOf(change).slice(0, 32);

/** A result without a digest, from an older snapshot, is assumed to be of the same change, as the version that stored it assumed. */
const isSameChange = ({resultDigests = {}}: Ledger, commandId: string, change: Change): boolean =>
	!Object.hasOwn(resultDigests, commandId) || resultDigests[commandId] === changeDigest(change);

const refuseReusedId = (catalog: Catalog, {commandId, change}: Command, firstResult: CommandResult): CommandResult => {
	const outcome = 'revision' in firstResult ? `${firstResult.type} at revision ${firstResult.revision}` : firstResult.type;
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

const storeResult = (ledger: Ledger, commandId: string, change: Change, result: CommandResult): void => {
	ledger.resultDigests ??= {};
	ledger.results[commandId] = result;
	ledger.resultDigests[commandId] = changeDigest(change);
	ledger.resultOrder.push(commandId);
	if (remainingLength(ledger, 'resultOrder') > maxRetainedResults) {
		const oldest = removeFirst(ledger, 'resultOrder');
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete ledger.results[oldest];
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete ledger.resultDigests[oldest];
	}
};
