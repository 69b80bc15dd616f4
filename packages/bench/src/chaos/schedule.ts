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

/** One fault of a schedule. `draw` picks its victims among those that there are. */
export type PlannedFault = {readonly kind: FaultKind; readonly startMs: number; readonly durationMs: number; readonly draw: number};

export type Schedule = {readonly number: number; readonly faults: readonly PlannedFault[]};

const lastStartMs = 300;
const shortestMs = 200;
const longestMs = 800;
/** Beyond the lease of a host, so that what was cut off stops serving. */
const longFaultMs = 4000;
const longShare = 10;
const largestDraw = 1_000_000;

/**
 * Draws schedules of one to three faults that overlap, in half of them with
 * the same draw, so that they often meet on one node. Kinds are dealt like
 * cards, so that each one comes up about equally often in any run.
 */
export const drawSchedules = (random: Random, count: number): Schedule[] => {
	let deck: FaultKind[] = [];
	const deal = (): FaultKind => {
		deck = deck.length === 0 ? [...faultKinds] : deck;
		return deck.splice(random.between(0, deck.length - 1), 1)[0]!;
	};

	const drawFaults = (): PlannedFault[] => {
		const isLong = random.between(1, longShare) === 1;
		const sameVictim = random.between(0, 1) === 1 ? random.between(0, largestDraw) : null;
		return Array.from({length: random.between(1, 3)}, () => ({
			kind: deal(), startMs: random.between(0, lastStartMs), draw: sameVictim ?? random.between(0, largestDraw),
			durationMs: isLong ? longFaultMs : random.between(shortestMs, longestMs),
		}));
	};

	return Array.from({length: count}, (_, number) => ({number, faults: drawFaults()}));
};
