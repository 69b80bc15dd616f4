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
const largestDraw = 1_000_000;

/**
 * Draws schedules of one to three faults that overlap. Kinds are dealt like
 * cards, so that each one comes up about equally often in any run.
 */
export const drawSchedules = (random: Random, count: number): Schedule[] => {
	let deck: FaultKind[] = [];
	const deal = (): FaultKind => {
		deck = deck.length === 0 ? [...faultKinds] : deck;
		return deck.splice(random.between(0, deck.length - 1), 1)[0]!;
	};

	return Array.from({length: count}, (_, number) => ({
		number,
		faults: Array.from({length: random.between(1, 3)}, () => ({
			kind: deal(), startMs: random.between(0, lastStartMs), durationMs: random.between(shortestMs, longestMs), draw: random.between(0, largestDraw),
		})),
	}));
};
