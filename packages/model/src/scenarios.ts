import type {EngineProfile} from '@bitternpaddle/state';
import type {
	ClassBurst, EngineEvent, HostSharing, LoadStep, CallerClass, Scenario,
} from './scenario.js';

type ProfileFields = Pick<EngineProfile, 'slots' | 'stepMs' | 'readTokensPerSecond' | 'usualAnswerTokens'> & Partial<EngineProfile>;

const profileOf = (fields: ProfileFields): EngineProfile => ({
	stepsPerPass: 6, perSequenceMs: 0.04, contextMsPerThousand: 0.02, usualPromptTokens: 973, kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300, ...fields,
});

/** Engine profiles by batch size; those with larger batches also have faster steps. */
const profiles = {
	batch8: profileOf({
		slots: 8, stepMs: 11.1, readTokensPerSecond: 21_300, usualAnswerTokens: 84,
	}),
	batch12: profileOf({
		slots: 12, stepMs: 8.9, readTokensPerSecond: 19_100, usualAnswerTokens: 106,
	}),
	batch12quick: profileOf({
		slots: 12, stepMs: 7.4, readTokensPerSecond: 31_900, usualAnswerTokens: 113, stepsPerPass: 7,
	}),
	batch16: profileOf({
		slots: 16, stepMs: 7.4, readTokensPerSecond: 31_900, usualAnswerTokens: 106,
	}),
} as const;

export type ProfileName = keyof typeof profiles;
export const profileNames = Object.keys(profiles) as ProfileName[];

/** Workloads: `drafts` has mostly long prompts, `briefs` mostly short prompts with answers of the same length. */
const workloads = {
	drafts: [
		{
			name: 'layout', share: 0.44, objectiveMs: 500, deadlineMs: 6000, promptTokens: 1330, answerTokens: 90, worth: 2.2, lateWorth: 0.56,
		},
		{
			name: 'brief', share: 0.3, objectiveMs: 500, deadlineMs: 6000, promptTokens: 830, answerTokens: 90, worth: 2, lateWorth: 0.5,
		},
		{
			name: 'notice', share: 0.26, objectiveMs: 400, deadlineMs: 6000, promptTokens: 650, answerTokens: 72, worth: 1.6, lateWorth: 0.4,
		},
	],
	briefs: [
		{
			name: 'layout', share: 0.33, objectiveMs: 400, deadlineMs: 6000, promptTokens: 1330, answerTokens: 127, worth: 2.4, lateWorth: 0.6,
		},
		{
			name: 'brief', share: 0.41, objectiveMs: 400, deadlineMs: 6000, promptTokens: 830, answerTokens: 127, worth: 2.1, lateWorth: 0.53,
		},
		{
			name: 'notice', share: 0.26, objectiveMs: 400, deadlineMs: 6000, promptTokens: 650, answerTokens: 70, worth: 1.4, lateWorth: 0.34,
		},
	],
	/** Three priorities, of which the last has an objective twice as long. */
	ranks: [
		{
			name: 'urgent', share: 0.35, priority: 0, objectiveMs: 403, deadlineMs: 6042, promptTokens: 973, answerTokens: 100, worth: 3.7, lateWorth: 0.37,
		},
		{
			name: 'usual', share: 0.35, priority: 1, objectiveMs: 402, deadlineMs: 6036, promptTokens: 973, answerTokens: 100, worth: 1.7, lateWorth: 0.42,
		},
		{
			name: 'tolerant', share: 0.3, priority: 2, objectiveMs: 802, deadlineMs: 6017, promptTokens: 973, answerTokens: 100, worth: 0.51, lateWorth: 0.19,
		},
	],
} as const satisfies Record<string, readonly CallerClass[]>;

export type WorkloadName = keyof typeof workloads;
export const workloadNames = Object.keys(workloads) as WorkloadName[];

/** Size of the simulated deployment. */
export type ScenarioSize = {
	readonly engineCount: number;
	readonly entryCount: number;
	/** @default 'batch8' */
	readonly profile?: ProfileName;
	/** @default 'drafts' */
	readonly work?: WorkloadName;
};

type Shape = {readonly load: readonly LoadStep[]; readonly events?: readonly EngineEvent[]; readonly bursts?: readonly ClassBurst[]; readonly sharing?: HostSharing | null};

const shapes = {
	steady: {load: [{fromS: 0, factor: 0.75}]},
	ramp: {
		load: [{fromS: 0, factor: 0.4}, {fromS: 4, factor: 0.8}], events: [{
			type: 'join', atS: 0, share: 0.3, readyAfterMs: 7000,
		}],
	},
	'overload-1.1': {load: [{fromS: 0, factor: 1.1}]},
	'overload-1.3': {load: [{fromS: 0, factor: 1.3}]},
	'overload-1.6': {load: [{fromS: 0, factor: 1.6}]},
	burst: {load: [{fromS: 0, factor: 0.7}, {fromS: 5, factor: 1.8}, {fromS: 8, factor: 0.7}]},
	wave: {load: [{fromS: 0, factor: 0.75}], events: [{type: 'reload', atS: 4, concurrentShare: 1 / 3}]},
	restart: {
		load: [{fromS: 0, factor: 0.75}], events: [{
			type: 'restart', atS: 5, firstReadyAfterMs: 3000, lastReadyAfterMs: 4500,
		}],
	},
	/** For the workload `ranks`. */
	'burst-tolerant': {
		load: [{fromS: 0, factor: 0.8}], bursts: [{
			className: 'tolerant', fromS: 4, toS: 10, factor: 2.5,
		}],
	},
	/** For the workload `ranks`. */
	'burst-urgent': {
		load: [{fromS: 0, factor: 0.8}], bursts: [{
			className: 'urgent', fromS: 4, toS: 10, factor: 2.5,
		}],
	},
	/** For the workload `ranks`. */
	'burst-tolerant-ramp': {
		load: [{fromS: 0, factor: 0.6}], bursts: [{
			className: 'tolerant', fromS: 2, toS: 8, factor: 2.5,
		}], events: [{
			type: 'join', atS: 0, share: 0.5, readyAfterMs: 6000,
		}],
	},
	loss: {load: [{fromS: 0, factor: 0.8}], events: [{type: 'loss', atS: 5, share: 0.35}]},
	shared: {load: [{fromS: 0, factor: 0.75}], sharing: {factor: 2.5, share: 0.15, changeMs: 600}},
} as const satisfies Record<string, Shape>;

export type ScenarioName = keyof typeof shapes;
export const scenarioNames = Object.keys(shapes) as ScenarioName[];

const durationS = 16;
const zoneCount = 5;

/** Builds the named scenario for a deployment of the given size. */
export const resolveScenario = (name: ScenarioName, {profile = 'batch8', work = 'drafts', ...size}: ScenarioSize): Scenario => {
	const {load, events = [], bursts = [], sharing = null}: Shape = shapes[name];
	return {
		name, profile: profiles[profile], callerClasses: workloads[work], zoneCount, durationS, load, events, bursts, sharing, ...size,
	};
};
