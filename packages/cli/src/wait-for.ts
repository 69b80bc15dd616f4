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
	/** Called with a line of progress whenever it changes. */
	onProgress(text: string): void;
};

/** `done`, or why not. */
export type WaitOutcome = {readonly type: 'done'} | {readonly type: 'timedOut'; readonly last: string};

const pollMs = 250;
/** An election takes about this many polls; a wait that goes on as if nothing was says nothing of it. */
const silentPolls = 6;

type Step = {readonly isDone: boolean; readonly isAnswered: boolean; readonly text: string};

/** Waits until an accepted change is in force everywhere, and for a load of a version or adapter until its replicas are ready. */
export const waitFor = async (options: WaitOptions): Promise<WaitOutcome> => {
	const startedMs = performance.now();
	const change = changeOf(options.line);
	let last = '';
	let unanswered = 0;
	while (performance.now() - startedMs < options.timeoutMs) {
		const step = await look(options, change, performance.now() - startedMs);
		unanswered = step.isAnswered ? 0 : unanswered + 1;
		const isNews = step.isAnswered || unanswered > silentPolls;
		if (isNews && step.text !== last) {
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

const look = async (options: WaitOptions, change: Change | null, elapsedMs: number): Promise<Step> => {
	const inForce = await lookAtRevision(options);
	if (inForce.isDone && change?.type === 'loadAdapter') {
		return lookAtAdapter(options, change);
	}

	if (!inForce.isDone || change?.type !== 'load') {
		return inForce;
	}

	const [fleetRow] = await rowsOf(options, `show fleets where fleet = ${change.fleetId}`);
	if (fleetRow === undefined) {
		return {isDone: false, isAnswered: false, text: `fleet ${change.fleetId} cannot be asked about`};
	}

	// Another order may have followed: what this one brought about is over then.
	if (fleetRow.version !== change.versionId) {
		return {isDone: true, isAnswered: true, text: `fleet ${change.fleetId} has been given ${String(fleetRow.version)} since`};
	}

	const progress = loadProgress({fleetRow, transferRows: await rowsOf(options, `show transfers where version = ${change.versionId}`), elapsedMs});
	return {isDone: progress.ready >= progress.wanted, isAnswered: true, text: formatProgress(progress)};
};

const lookAtAdapter = async (options: WaitOptions, {versionId, adapterId, fleetId}: Extract<Change, {type: 'loadAdapter'}>): Promise<Step> => {
	const key = adapterKeyOf(versionId, adapterId);
	const [adapterRow] = await rowsOf(options, `show adapters where adapter = ${key}`);
	const [fleetRow] = await rowsOf(options, `show fleets where fleet = ${fleetId}`);
	if (adapterRow === undefined || fleetRow === undefined) {
		return {isDone: false, isAnswered: false, text: `adapter ${key} cannot be asked about`};
	}

	if (!String(adapterRow.fleets).split(', ').includes(fleetId)) {
		return {isDone: true, isAnswered: true, text: `adapter ${key} has been taken off fleet ${fleetId} since`};
	}

	if (fleetRow.version !== versionId) {
		return {isDone: true, isAnswered: true, text: `adapter ${key} waits for ${versionId}: fleet ${fleetId} has ${String(fleetRow.version)}`};
	}

	const replicas = await rowsOf(options, `show replicas where fleet = ${fleetId} and version = ${versionId}`);
	const ready = replicas.filter(row => row.ready && String(row.adapters).split(', ').includes(adapterId)).length;
	return {isDone: ready >= replicas.length && replicas.length > 0, isAnswered: true, text: `${ready}/${replicas.length} replicas ready with adapter ${adapterId}`};
};

const lookAtRevision = async (options: WaitOptions): Promise<Step> => {
	const hosts = await rowsOf(options, 'show hosts');
	if (hosts.length === 0) {
		return {isDone: false, isAnswered: false, text: 'control cannot be asked'};
	}

	// Against the order's own revision: later changes must not make a wait that was over go on.
	const missing = hosts.filter(({revision}) => Number(revision) < options.revision).map(({host}) => String(host));
	const isDone = missing.length === 0;
	return {isDone, isAnswered: true, text: `in force on ${hosts.length - missing.length} of ${hosts.length} hosts${isDone ? '' : `, missing: ${missing.join(', ')}`}`};
};

/** No rows when the entry or control cannot be reached for the moment; the wait goes on. */
const rowsOf = async ({client}: WaitOptions, line: string): Promise<readonly QueryRow[]> => {
	try {
		return (await sendLine({...client, line})).body.rows ?? [];
	} catch {
		return [];
	}
};
