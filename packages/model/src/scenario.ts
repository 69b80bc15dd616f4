import type {EngineProfile} from '@bitternpaddle/state';

/** A class of callers and the requests they send. */
export type CallerClass = {
	readonly name: string;
	/** Share of all requests. */
	readonly share: number;
	/** 0 is the most urgent. @default 1 */
	readonly priority?: number;
	/** @default no team */
	readonly teamName?: string;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Value of an answer within the objective. */
	readonly worth: number;
	/** Value of a late answer. */
	readonly lateWorth: number;
};

/** From `fromS` on, requests arrive at `factor` times the rate that the engines sustain. */
export type LoadStep = {readonly fromS: number; readonly factor: number};

/** Callers of one class arrive at `factor` times their usual rate for some time. */
export type ClassBurst = {readonly className: string; readonly fromS: number; readonly toS: number; readonly factor: number};

/** A disturbance of the engines. */
export type EngineEvent
	/** Rolling reload: the engines load other weights in turn, `concurrentShare` of them at a time. */
	= | {readonly type: 'reload'; readonly atS: number; readonly concurrentShare: number}
		/** All engines crash and become ready again one after the other. */
		| {readonly type: 'restart'; readonly atS: number; readonly firstReadyAfterMs: number; readonly lastReadyAfterMs: number}
		/** Some engines crash and never return. */
		| {readonly type: 'loss'; readonly atS: number; readonly share: number}
		/** Some engines are not ready at first and join later. */
		| {readonly type: 'join'; readonly atS: number; readonly share: number; readonly readyAfterMs: number};

/** Hosts that the engines share with other work: each is `factor` times as slow for `share` of the time. */
export type HostSharing = {readonly factor: number; readonly share: number; readonly changeMs: number};

export type Scenario = {
	readonly name: string;
	readonly profile: EngineProfile;
	readonly callerClasses: readonly CallerClass[];
	readonly engineCount: number;
	readonly entryCount: number;
	readonly zoneCount: number;
	readonly durationS: number;
	/** Sorted by time; the first one starts at 0. */
	readonly load: readonly LoadStep[];
	readonly events: readonly EngineEvent[];
	/** @default none */
	readonly bursts?: readonly ClassBurst[];
	/** Age of the newest reports that entries know. @default that of reports sent every 100 ms, or 150 ms to other zones */
	readonly reportAgeMs?: number;
	/** Number of entries that receive no reports. @default 0 */
	readonly unreportedEntryCount?: number;
	/** Whether entries exchange their demand. @default true */
	readonly exchangesDemand?: boolean;
	/** `null`: the engines have their hosts for themselves, and their answers advertise no slowdown. */
	readonly sharing: HostSharing | null;
};

/** Requests per second that the engines of a scenario sustain with all slots in use all the time. */
export const maxRequestsPerSecond = ({engineCount, profile}: Scenario, {promptTokens, answerTokens}: {promptTokens: number; answerTokens: number}): number => {
	const passes = Math.ceil(answerTokens / profile.stepsPerPass);
	const contextThousands = (promptTokens + (answerTokens / 2)) / 1000;
	const passMs = profile.stepsPerPass * (profile.stepMs + (profile.slots * (profile.perSequenceMs + (profile.contextMsPerThousand * contextThousands))));
	const engineMs = (passes * passMs / profile.slots) + (promptTokens * 1000 / profile.readTokensPerSecond);
	return engineCount * 1000 / engineMs;
};
