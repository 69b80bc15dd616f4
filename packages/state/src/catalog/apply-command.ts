import {applyChange} from './apply-change.js';
import type {
	Catalog, Change, Claim, ClaimState, Command, CommandResult, Ledger,
} from './types.js';

/** Results kept for resends; older ones are forgotten, oldest first. */
export const keptResults = 20_000;

export type ReplicatedState = {readonly catalog: Catalog; readonly ledger: Ledger};

const claimKey = ({teamId, serviceId, key}: {teamId: string; serviceId: string; key: string}): string => `${teamId}/${serviceId}/${key}`;

/**
 * Applies one committed command. A command id that was applied before gives
 * its first result again: without this, an operator who lost the answer and
 * resends would run the order twice.
 */
export const applyCommand = (state: ReplicatedState, command: Command, index: number): CommandResult => {
	const {ledger} = state;
	const earlier = command.commandId === null ? undefined : ledger.results[command.commandId];
	if (earlier !== undefined) {
		return earlier;
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

const applyClaim = (ledger: Ledger, change: Extract<Change, {type: 'claim'}>): CommandResult => {
	const key = claimKey(change);
	const held = ledger.claims[key];
	if (held === undefined) {
		ledger.claims[key] = {
			requestId: change.requestId, bodyDigest: change.bodyDigest, atMs: change.atMs, state: {type: 'inProgress'},
		};
		return {type: 'claimed'};
	}

	if (held.bodyDigest !== change.bodyDigest) {
		return {type: 'claimHeld', state: {type: 'differentBody'}};
	}

	return held.requestId === change.requestId ? {type: 'claimed'} : {type: 'claimHeld', state: held.state};
};

const concludeClaim = (ledger: Ledger, change: Extract<Change, {type: 'concludeClaim'}>, index: number): CommandResult => {
	const key = claimKey(change);
	const held = ledger.claims[key];
	const isOwn = held?.requestId === change.requestId && held.state.type === 'inProgress';
	if (!isOwn) {
		return {
			type: 'refused', code: 'stale', message: 'the claim is not held by this request', revision: index,
		};
	}

	if (change.outcome.type === 'notRun') {
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete ledger.claims[key];
		return {type: 'accepted', revision: index};
	}

	const state: ClaimState = change.outcome;
	const concluded: Claim = {...held, state};
	ledger.claims[key] = concluded;
	return {type: 'accepted', revision: index};
};
