import {
	createObjectiveMix, createSpareRoom, hasFreshReport, nextStep, strictestObjectiveMs,
	type Candidate, type NextStep, type ServiceDemand, type SeekingRequest, type Surroundings, type WaitReason,
} from '@bitternpaddle/coordination';
import {productPolicy, type EntryPolicy} from '@bitternpaddle/model';

type Step = (demand: ServiceDemand, surroundings: Surroundings, request: SeekingRequest) => NextStep;

const withStep = (step: Step): EntryPolicy => ({...productPolicy, step});

const busyRetryMs = 1300;
const refuse: NextStep = {type: 'refuse', reason: 'busy', retryAfterMs: busyRetryMs};

/** The product's step, but where it says to wait for `reason` the request is refused. */
const withoutWait = (reason: WaitReason): EntryPolicy => withStep((demand, surroundings, request) => {
	const step = nextStep(demand, surroundings, request);
	return step.type === 'wait' && step.reason === reason ? refuse : step;
});

/** The product's step on candidates of which something is not known. */
const withLoads = (change: (load: Candidate['load']) => Partial<Candidate['load']>): EntryPolicy => withStep((demand, surroundings, request) => nextStep(demand, {
	...surroundings, candidates: surroundings.candidates.map(candidate => ({...candidate, load: {...candidate.load, ...change(candidate.load)}})),
}, request));

const wholeTime = 1 / 0.8;

/** One mechanism switched off in each. */
export const ablations: Readonly<Record<string, EntryPolicy>> = {
	held: withoutWait('engines'),
	moment: withoutWait('moment'),
	/** Come-backs are held to free places at all times. */
	calm: withStep((demand, surroundings, request) => nextStep(demand, surroundings, request.isLastTry ? {...request, objectiveMs: 0} : request)),
	/** All kinds are admitted by the strictest objective. */
	strictestBound: withStep((demand, surroundings, request) => nextStep(demand, surroundings, {
		...request, objectiveMs: Math.min(strictestObjectiveMs(demand.objectives, surroundings.nowMs), request.objectiveMs),
	})),
	room: withStep((demand, surroundings, request) => nextStep({...demand, spareRoom: createSpareRoom()}, surroundings, request)),
	crowd: withStep((demand, surroundings, request) => nextStep(demand, {...surroundings, entryCount: 1}, request)),
	comeBacksLast: withStep((demand, surroundings, request) => nextStep(demand, surroundings, {...request, isLastTry: false})),
	oneBound: withStep((demand, surroundings, request) => nextStep({...demand, objectives: createObjectiveMix()}, surroundings, request)),
	margin: withStep((demand, surroundings, request) => nextStep(demand, surroundings, {...request, objectiveMs: request.objectiveMs * wholeTime})),
	zones: withStep((demand, surroundings, request) => nextStep(demand, {...surroundings, zoneId: ''}, request)),
	ownRequests: withLoads(() => ({awaiting: new Map(), outstanding: 0})),
	lag: withLoads(() => ({lagMs: 0})),
	urgency: {...productPolicy, urgency: () => 1},
};

type Choose = (candidates: readonly Candidate[], surroundings: Surroundings) => Candidate;

/** Sends to a candidate that serves, whatever is expected of it. */
const sendTo = (choose: Choose): EntryPolicy => withStep((demand, surroundings, request) => {
	const {candidates, nowMs} = surroundings;
	const up = candidates.filter(({load}) => hasFreshReport(load, nowMs) && load.report!.version !== null && !load.report!.isBusy);
	return up.length === 0
		? nextStep(demand, surroundings, request)
		: {type: 'send', placement: {candidate: choose(up, surroundings), expectedMs: 0, lagMs: 0}};
});

const leastBy = (candidates: readonly Candidate[], measure: (candidate: Candidate) => number): Candidate => candidates.toSorted((a, b) => measure(a) - measure(b))[0]!;

const active = ({load}: Candidate): number => Math.max(load.outstanding, (load.report?.running ?? 0) + (load.report?.queued ?? 0));
const draw = (candidates: readonly Candidate[], {random}: Surroundings): Candidate => candidates[random.between(0, candidates.length - 1)]!;

/** Simpler policies. */
export const baselines: Readonly<Record<string, () => EntryPolicy>> = {
	leastOutstanding: () => sendTo(candidates => leastBy(candidates, ({load}) => load.outstanding)),
	twoChoices: () => sendTo((candidates, surroundings) => leastBy([draw(candidates, surroundings), draw(candidates, surroundings)], active)),
	roundRobin() {
		let turn = 0;
		return sendTo(candidates => {
			turn++;
			return candidates[turn % candidates.length]!;
		});
	},
	admitAll: () => withStep((demand, surroundings, request) => nextStep(demand, surroundings, {...request, retryClass: 'safe'})),
	oneThreshold: () => withStep((demand, surroundings, request) => {
		const objectiveMs = Math.min(400, request.objectiveMs);
		return nextStep({...demand, objectives: createObjectiveMix()}, surroundings, {...request, objectiveMs, isLastTry: false});
	}),
};
