import type {EngineProfile} from '@bitternpaddle/state';

/** What a kind of caller asks for. */
export type ModelKind = {
	readonly name: string;
	/** Of all requests. */
	readonly share: number;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly worth: number;
	/** Of an answer that is late. */
	readonly lateWorth: number;
};

/** From `fromS` on, so many times what the engines carry asks. */
export type LoadStep = {readonly fromS: number; readonly factor: number};

/** What befalls engines. */
export type EngineEvent
	/** Engines take turns to load other weights, so many of them at once. */
	= | {readonly type: 'reload'; readonly atS: number; readonly atOnceShare: number}
		/** All are lost, and are back one after the other. */
		| {readonly type: 'restart'; readonly atS: number; readonly firstAfterMs: number; readonly lastAfterMs: number}
		/** Some are gone for good. */
		| {readonly type: 'loss'; readonly atS: number; readonly share: number}
		/** Some start empty and are ready later. */
		| {readonly type: 'join'; readonly atS: number; readonly share: number; readonly readyAfterMs: number};

export type Scenario = {
	readonly name: string;
	readonly profile: EngineProfile;
	readonly kinds: readonly ModelKind[];
	readonly engineCount: number;
	readonly entryCount: number;
	readonly zoneCount: number;
	readonly lengthS: number;
	/** In the order of their times; the first one at 0. */
	readonly load: readonly LoadStep[];
	readonly events: readonly EngineEvent[];
};

/** Requests a second that the engines of a scenario carry when all places are taken all the time. */
export const carriedPerSecond = ({engineCount, profile}: Scenario, {promptTokens, answerTokens}: {promptTokens: number; answerTokens: number}): number => {
	const passes = Math.ceil(answerTokens / profile.stepsPerPass);
	const contextThousands = (promptTokens + (answerTokens / 2)) / 1000;
	const passMs = profile.stepsPerPass * (profile.stepMs + (profile.slots * (profile.perSequenceMs + (profile.contextMsPerThousand * contextThousands))));
	const engineMs = (passes * passMs / profile.slots) + (promptTokens * 1000 / profile.readTokensPerSecond);
	return engineCount * 1000 / engineMs;
};
