import {setTimeout as delay} from 'node:timers/promises';
import {sendLine, type ClientOptions} from '@bitternpaddle/daemon';
import {parseStatement, type QueryRow} from '@bitternpaddle/protocol';
import {adapterKeyOf, type Change} from '@bitternpaddle/state';
import {formatProgress, loadProgress} from './progress.js';

export type WaitOptions = {
	readonly client: ClientOptions;
	readonly line: string;
	/** Revision at which the change was accepted. */
	readonly revision: number;
	readonly timeoutMs: number;
	/** Called with a line that describes the progress, whenever it changes. */
	onProgress(text: string): void;
};

/** The result of a wait; `last` is the last progress line before the timeout. */
export type WaitOutcome = {readonly type: 'done'} | {readonly type: 'timedOut'; readonly last: string};

const pollMs = 250;
/** An election lasts about this many polls; a shorter outage is not reported as progress. */
const unreportedPolls = 6;

type WaitStep = {readonly isDone: boolean; readonly isAnswered: boolean; readonly text: string};

/** Waits until an accepted change is in force on all hosts and, for a load of a version or adapter, until its replicas are ready. */
export const waitFor = async (options: WaitOptions): Promise<WaitOutcome> => {
	const startedMs = performance.now();
	const change = changeOf(options.line);
	let last = '';
	let unansweredPolls = 0;
	while (performance.now() - startedMs < options.timeoutMs) {
		const step = await checkChange(options, change, performance.now() - startedMs);
		unansweredPolls = step.isAnswered ? 0 : unansweredPolls + 1;
		const isReportable = step.isAnswered || unansweredPolls > unreportedPolls;
		if (isReportable && step.text !== last) {
			last = step.text;
			options.onProgress(step.text);
		}

		if (step.isDone) {
			return {type: 'done'};
		}

		await delay(pollMs);
	}

	return {type: 'timedOut', last};
};

const changeOf = (line: string): Change | null => parseStatement(line).caseOf({
	Left: () => null,
	Right: statement => statement.type === 'change' ? statement.change : null,
});

const checkChange = async (options: WaitOptions, change: Change | null, elapsedMs: number): Promise<WaitStep> => {
	const inForce = await checkRevision(options);
	if (inForce.isDone && change?.type === 'loadAdapter') {
		return checkAdapter(options, change);
	}

	if (!inForce.isDone || change?.type !== 'load') {
		return inForce;
	}

	const [fleetRow] = await queryRows(options, `show fleets where fleet = ${change.fleetId}`);
	if (fleetRow === undefined) {
		return {isDone: false, isAnswered: false, text: `the state of fleet ${change.fleetId} is not available`};
	}

	// A later command has replaced this one, so there is nothing left to wait for.
	if (fleetRow.version !== change.versionId) {
		return {isDone: true, isAnswered: true, text: `fleet ${change.fleetId} has since been assigned ${String(fleetRow.version)}`};
	}

	const progress = loadProgress({fleetRow, transferRows: await queryRows(options, `show transfers where version = ${change.versionId}`), elapsedMs});
	return {isDone: progress.ready >= progress.wanted, isAnswered: true, text: formatProgress(progress)};
};

const checkAdapter = async (options: WaitOptions, {versionId, adapterId, fleetId}: Extract<Change, {type: 'loadAdapter'}>): Promise<WaitStep> => {
	const key = adapterKeyOf(versionId, adapterId);
	const [adapterRow] = await queryRows(options, `show adapters where adapter = ${key}`);
	const [fleetRow] = await queryRows(options, `show fleets where fleet = ${fleetId}`);
	if (adapterRow === undefined || fleetRow === undefined) {
		return {isDone: false, isAnswered: false, text: `the state of adapter ${key} is not available`};
	}

	if (!String(adapterRow.fleets).split(', ').includes(fleetId)) {
		return {isDone: true, isAnswered: true, text: `adapter ${key} has since been unloaded from fleet ${fleetId}`};
	}

	if (fleetRow.version !== versionId) {
		return {isDone: true, isAnswered: true, text: `adapter ${key} waits for ${versionId}: fleet ${fleetId} has ${String(fleetRow.version)}`};
	}

	const replicas = await queryRows(options, `show replicas where fleet = ${fleetId} and version = ${versionId}`);
	const ready = replicas.filter(row => row.ready && String(row.adapters).split(', ').includes(adapterId)).length;
	return {isDone: ready >= replicas.length && replicas.length > 0, isAnswered: true, text: `${ready}/${replicas.length} replicas ready with adapter ${adapterId}`};
};

const checkRevision = async (options: WaitOptions): Promise<WaitStep> => {
	const hosts = await queryRows(options, 'show hosts');
	if (hosts.length === 0) {
		return {isDone: false, isAnswered: false, text: 'control cannot be asked'};
	}

	// Compares with the revision of this command: later changes must not extend a wait that is already over.
	const missing = hosts.filter(({revision}) => Number(revision) < options.revision).map(({host}) => String(host));
	const isDone = missing.length === 0;
	return {isDone, isAnswered: true, text: `in force on ${hosts.length - missing.length} of ${hosts.length} hosts${isDone ? '' : `, missing: ${missing.join(', ')}`}`};
};

/** Returns no rows while the entry or control host cannot be reached, so that the wait continues. */
const queryRows = async ({client}: WaitOptions, line: string): Promise<readonly QueryRow[]> => {
	try {
		return (await sendLine({...client, line})).body.rows ?? [];
	} catch {
		return [];
	}
};
