import type {Random} from '@bitternpaddle/coordination';

export const faultKinds = [
	'controlKill',
	'leaderKill',
	'entryKill',
	'agentKill',
	'ledgerAgentKill',
	'agentLost',
	'ledgerAgentLost',
	'controlLost',
	'linkCut',
	'linkOneWayCut',
	'connectionSilent',
	'nodeFrozen',
	'engineStall',
	'engineCut',
	'engineCrossed',
	'engineSilent',
	'serviceCutAfterRun',
	'serviceSilent',
	'chunkCorrupted',
	'versionLoad',
	'versionWithdraw',
	'hostDrain',
	'hostStop',
	'agentStop',
	'entryStop',
	'commandResent',
	'operatorsRacing',
	'callResent',
] as const;
export type FaultKind = typeof faultKinds[number];

/** One fault of a schedule. `draw` selects its targets among the available nodes. */
export type PlannedFault = {readonly kind: FaultKind; readonly startMs: number; readonly durationMs: number; readonly draw: number};

export type Schedule = {readonly number: number; readonly faults: readonly PlannedFault[]};

const lastStartMs = 300;
const minDurationMs = 200;
const maxDurationMs = 800;
/** Longer than the lease of a host, so that a partitioned host stops serving. */
const longFaultMs = 4000;
const longFaultOneIn = 10;
const maxDraw = 1_000_000;

/**
 * Generates random schedules of one to three overlapping faults. Half of the schedules
 * use the same draw for all faults, so that they often hit one node. Kinds are drawn
 * without replacement until all are used, so that each occurs about equally often in
 * any run.
 */
export const createSchedules = (random: Random, count: number): Schedule[] => {
	let remainingKinds: FaultKind[] = [];
	const drawKind = (): FaultKind => {
		remainingKinds = remainingKinds.length === 0 ? [...faultKinds] : remainingKinds;
		return remainingKinds.splice(random.between(0, remainingKinds.length - 1), 1)[0]!;
	};

	const createFaults = (): PlannedFault[] => {
		const isLong = random.between(1, longFaultOneIn) === 1;
		const sharedDraw = random.between(0, 1) === 1 ? random.between(0, maxDraw) : null;
		return Array.from({length: random.between(1, 3)}, () => ({
			kind: drawKind(), startMs: random.between(0, lastStartMs), draw: sharedDraw ?? random.between(0, maxDraw),
			durationMs: isLong ? longFaultMs : random.between(minDurationMs, maxDurationMs),
		}));
	};

	return Array.from({length: count}, (_, number) => ({number, faults: createFaults()}));
};
