import {applyChange} from './apply-change.js';
import {applyClaim, concludeClaim, moveClaim} from './claims.js';
import type {
	Catalog, Command, CommandResult, Ledger,
} from './types.js';

/** Results kept for resends; older ones are forgotten, oldest first. */
export const keptResults = 20_000;

export type ReplicatedState = {readonly catalog: Catalog; readonly ledger: Ledger};

/**
 * Applies one committed command. A command id that was applied before gives
 * its first result again: without this, an operator who lost the answer and
 * resends would run the order twice.
 */
export const applyCommand = (state: ReplicatedState, command: Command, index: number): CommandResult => {
	const {ledger} = state;
	// Only own properties: an id such as `constructor` would otherwise seem to have been applied before.
	if (command.commandId !== null && Object.hasOwn(ledger.results, command.commandId)) {
		return ledger.results[command.commandId]!;
	}

	const result = applyOnce(state, command, index);
	if (command.commandId !== null) {
		rememberResult(ledger, command.commandId, result);
	}

	return result;
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

const rememberResult = (ledger: Ledger, commandId: string, result: CommandResult): void => {
	ledger.results[commandId] = result;
	ledger.resultOrder.push(commandId);
	if (ledger.resultOrder.length > keptResults) {
		const oldest = ledger.resultOrder.shift()!;
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete ledger.results[oldest];
	}
};
