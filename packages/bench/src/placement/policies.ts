import {
	createObjectiveMix, createSpareCapacity, hasFreshReport, maxStartShare, nextStep, strictestObjectiveMs,
	type Candidate, type NextStep, type ServiceDemand, type UnplacedRequest, type PlacementContext, type WaitReason,
} from '@bitternpaddle/coordination';
import {productPolicy, type EntryPolicy} from '@bitternpaddle/model';

type Step = (demand: ServiceDemand, context: PlacementContext, request: UnplacedRequest) => NextStep;

const withStep = (step: Step): EntryPolicy => ({...productPolicy, step});

const busyRetryMs = 1300;
const refuse: NextStep = {type: 'refuse', reason: 'busy', retryAfterMs: busyRetryMs};

/** The product's step, except that a request is refused where the product would wait for `reason`. */
const withoutWait = (reason: WaitReason): EntryPolicy => withStep((demand, context, request) => {
	const step = nextStep(demand, context, request);
	return step.type === 'wait' && step.reason === reason ? refuse : step;
});

/** The product's step on candidates with some of their load information changed or removed. */
const withLoads = (change: (load: Candidate['load']) => Partial<Candidate['load']>): EntryPolicy => withStep((demand, context, request) => nextStep(demand, {
	...context, candidates: context.candidates.map(candidate => ({...candidate, load: {...candidate.load, ...change(candidate.load)}})),
}, request));

/** Cancels the safety margin of admission, which uses only 0.8 of the objective. */
const fullObjectiveFactor = 1 / 0.8;

/** Policies that each switch off one mechanism of the product. */
export const ablations: Readonly<Record<string, EntryPolicy>> = {
	/** Refuses requests instead of holding them until engines are ready. */
	held: withoutWait('engines'),
	/** Refuses requests instead of letting them wait for a moment. */
	moment: withoutWait('moment'),
	/** Admits caller retries only to free slots at all times, not only under overload. */
	calm: withStep((demand, context, request) => nextStep(demand, context, request.isLastTry ? {...request, objectiveMs: 0} : request)),
	/** Admits requests of all classes by the strictest objective. */
	strictestBound: withStep((demand, context, request) => nextStep(demand, context, {
		...request, objectiveMs: Math.min(strictestObjectiveMs(demand.objectives, context.nowMs), request.objectiveMs),
	})),
	/** Ignores the priorities of requests. */
	priorities: withStep((demand, context, request) => nextStep(demand, {...context, room: null}, request)),
	/** Lets estimates use up the same share of the objective at all times. */
	startShare: withStep((demand, context, request) => nextStep({...demand, startShare: maxStartShare}, context, request)),
	/** Ignores the recorded spare capacity. */
	room: withStep((demand, context, request) => nextStep({...demand, spareCapacity: createSpareCapacity()}, context, request)),
	/** Ignores concurrent arrivals at other entries. */
	crowd: withStep((demand, context, request) => nextStep(demand, {...context, entryCount: 1}, request)),
	/** Treats caller retries like first attempts. */
	comeBacksLast: withStep((demand, context, request) => nextStep(demand, context, {...request, isLastTry: false})),
	/** Admits each request by its own objective, regardless of the objectives of other requests. */
	oneBound: withStep((demand, context, request) => nextStep({...demand, objectives: createObjectiveMix()}, context, request)),
	margin: withStep((demand, context, request) => nextStep(demand, context, {...request, objectiveMs: request.objectiveMs * fullObjectiveFactor})),
	zones: withStep((demand, context, request) => nextStep(demand, {...context, zoneId: ''}, request)),
	ownRequests: withLoads(() => ({awaiting: new Map(), outstanding: 0})),
	/** Ignores the slowdowns in answers; the paces in reports remain. */
	figures: withLoads(() => ({slowdown: null})),
	lag: withLoads(() => ({lagMs: 0})),
	urgency: {...productPolicy, urgency: () => 1},
};

type Choose = (candidates: readonly Candidate[], context: PlacementContext) => Candidate;

/** Sends each request to a serving candidate, regardless of the time to the first token that is expected of it. */
const sendTo = (choose: Choose): EntryPolicy => withStep((demand, context, request) => {
	const {candidates, nowMs} = context;
	const serving = candidates.filter(({load}) => hasFreshReport(load, nowMs) && load.wholeVersion !== null && !load.report!.isBusy);
	return serving.length === 0
		? nextStep(demand, context, request)
		: {type: 'send', placement: {candidate: choose(serving, context), expectedMs: 0, lagMs: 0}};
});

const minBy = (candidates: readonly Candidate[], measure: (candidate: Candidate) => number): Candidate => candidates.toSorted((a, b) => measure(a) - measure(b))[0]!;

const activeRequests = ({load}: Candidate): number => Math.max(load.outstanding, (load.report?.running ?? 0) + (load.report?.queued ?? 0));
const pickRandom = (candidates: readonly Candidate[], {random}: PlacementContext): Candidate => candidates[random.between(0, candidates.length - 1)]!;

/** Simpler policies for comparison. */
export const baselines: Readonly<Record<string, () => EntryPolicy>> = {
	leastOutstanding: () => sendTo(candidates => minBy(candidates, ({load}) => load.outstanding)),
	twoChoices: () => sendTo((candidates, context) => minBy([pickRandom(candidates, context), pickRandom(candidates, context)], activeRequests)),
	roundRobin() {
		let turn = 0;
		return sendTo(candidates => {
			turn++;
			return candidates[turn % candidates.length]!;
		});
	},
	admitAll: () => withStep((demand, context, request) => nextStep(demand, context, {...request, retryClass: 'safe'})),
	oneThreshold: () => withStep((demand, context, request) => {
		const objectiveMs = Math.min(400, request.objectiveMs);
		return nextStep({...demand, objectives: createObjectiveMix()}, context, {...request, objectiveMs, isLastTry: false});
	}),
};
