import type {EngineProfile} from '@bitternpaddle/state';
import t from 'tap';
import {
	createArrivalRate, createEndpointHealth, createEndpointLoad, createObjectiveMix, createRandom, createSpareCapacity, nextStep, recordPause, preferredLimited,
	type Candidate, type PermitState, type UnplacedRequest, type ServiceDemand, type PlacementContext,
} from '@bitternpaddle/coordination';

const nowMs = 1050;

const profile: EngineProfile = {
	slots: 16, stepsPerPass: 6, stepMs: 7.4, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 32_000, usualPromptTokens: 973, usualAnswerTokens: 106,
	kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
};

const engine = (id: string, running: number): Candidate => ({
	announcement: {
		id, serviceName: 's', address: `${id}:80`, zoneId: 'z1', slots: 16, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence: 1,
	},
	load: {
		...createEndpointLoad(), wholeVersion: 1, reportedAtMs: 1000, report: {
			running, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: {type: 'unknown'}, readyInMs: null,
		},
	},
	health: createEndpointHealth(),
});

const demand = (queuedCount = 0): ServiceDemand => ({
	sendRate: createArrivalRate(), objectives: createObjectiveMix(), spareCapacity: createSpareCapacity(), heldCount: 0, queuedCount, capacityAheadCount: 0,
});

const createContext = (availability: Readonly<Record<string, PermitState>>): PlacementContext => ({
	candidates: [engine('idle', 0), engine('busy', 16)], permitStateOf: ({announcement: {id}}) => availability[id] ?? {type: 'available'}, profile, zoneId: 'z1',
	entryCount: 1, dues: [], shutdownInMs: Number.POSITIVE_INFINITY, room: null, random: createRandom(1), nowMs,
});

const request = (fields: Partial<UnplacedRequest> = {}): UnplacedRequest => ({
	priority: 1, teamName: null, routeName: 'r',
	isLastTry: false, deadlineAtMs: nowMs + 6000, retryClass: 'streaming', objectiveMs: 400, timeoutMs: 6000, promptTokens: 973, maxAnswerTokens: 100, receivedAtMs: nowMs,
	sinceMs: nowMs, isBegun: false, sentCount: 0, triedIds: new Set(), waitsFor: null, ...fields,
});

const limited = (nextMs: number): PermitState => ({type: 'limited', nextAtMs: nowMs + nextMs, gapMs: 500});

t.test('an endpoint at its limit is not chosen, even if it is idle', async t => {
	t.match(nextStep(demand(), createContext({}), request()), {placement: {candidate: {announcement: {id: 'idle'}}}});
	const atLimit = createContext({idle: limited(100)});
	t.match(nextStep(demand(), atLimit, request()), {type: 'send', placement: {candidate: {announcement: {id: 'busy'}}}});
	t.match(nextStep(demand(), atLimit, request({sentCount: 1, triedIds: new Set(['busy']), isBegun: true})), {type: 'wait', reason: 'availability'}, 'a second attempt does not choose it either');
	t.equal(preferredLimited(demand(), atLimit, request())?.candidate.announcement.id, 'idle');
	t.equal(preferredLimited(demand(), createContext({busy: limited(100)}), request()), null);
});

// Guards against permits that expire unused: the request that asked for one used to go to a busy endpoint before the issuer answered.
t.test('a request waits for the reply of the issuer if every other endpoint is busy, and not for a later permit', async t => {
	const stepWith = (nextMs: number, runningElsewhere: number, fields: Partial<UnplacedRequest> = {}) => {
		const context: PlacementContext = {...createContext({idle: limited(nextMs)}), candidates: [engine('idle', 0), engine('busy', runningElsewhere)]};
		return nextStep(demand(), context, request(fields), preferredLimited(demand(), context, request(fields)));
	};

	t.match(stepWith(20, 40), {type: 'wait', reason: 'availability'});
	t.match(stepWith(20, 2), {type: 'send', placement: {candidate: {announcement: {id: 'busy'}}}}, 'another endpoint has a free slot');
	t.not(stepWith(60, 40).type, 'wait', 'the permit is expected too late');
	t.not(stepWith(20, 40, {sinceMs: nowMs - 40}).type, 'wait', 'it has waited long enough');
});

t.test('a request waits only if an endpoint is expected to accept it soon, behind those already waiting', async t => {
	const both = createContext({idle: limited(100), busy: limited(300)});
	t.match(nextStep(demand(1), both, request()), {type: 'wait', reason: 'availability'});
	t.match(nextStep(demand(3), both, request()), {type: 'refuse', reason: /limit/v}, 'the three requests accepted within 700 ms are taken by those already waiting');
	t.match(nextStep(demand(3), both, request({waitsFor: 'availability'})), {type: 'wait'}, 'a request that is already waiting keeps its position');
});

t.test('a request that no endpoint accepts soon is refused at once with the time when the first one does', async t => {
	const step = nextStep(demand(), createContext({idle: limited(3000), busy: limited(5000)}), request());
	t.equal(step.type, 'refuse');
	t.ok(step.type === 'refuse' && step.retryAfterMs >= 3000 && step.retryAfterMs <= 4000);
});

t.test('an endpoint that could not serve the request anyway is not waited for', async t => {
	const step = nextStep(demand(), {...createContext({idle: limited(100)}), candidates: [engine('idle', 0)]}, request({triedIds: new Set(['idle']), sentCount: 1}));
	t.not(step.type === 'wait' && step.reason, 'availability');
});

t.test('a refused request gets a retry time at which an endpoint is expected to accept it, behind those already waiting', async t => {
	const step = nextStep(demand(5), createContext({idle: limited(100), busy: limited(300)}), request());
	t.ok(step.type === 'refuse' && step.retryAfterMs >= 1300, 'five requests are ahead, and the endpoints accept four per second');
});

/** A context in which both endpoints requested a pause at `nowMs`; a pause of 0 has no effect. */
const paused = (idlePauseMs: number, busyPauseMs: number): PlacementContext => {
	const pausedContext = createContext({});
	for (const [index, pauseMs] of [idlePauseMs, busyPauseMs].entries()) {
		recordPause(pausedContext.candidates[index]!.load, pauseMs, nowMs);
	}

	return pausedContext;
};

t.test('an endpoint that has asked for a pause is not chosen, even by a second attempt or if no other endpoint is left', async t => {
	t.match(nextStep(demand(), paused(3000, 0), request()), {type: 'send', placement: {candidate: {announcement: {id: 'busy'}}}});
	t.match(nextStep(demand(), paused(3000, 0), request({sentCount: 1, triedIds: new Set(['busy']), isBegun: true})), {type: 'refuse'});
	t.match(nextStep(demand(), {...paused(3000, 3000), profile: null}, request({retryClass: 'safe'})), {type: 'refuse'}, 'a plain service');
});

t.test('a request waits for a pause that ends soon, and is otherwise refused at once with the time when the first pause ends', async t => {
	const step = nextStep(demand(), paused(3000, 5000), request());
	t.match(step, {type: 'refuse', reason: 'every endpoint has asked for a pause'});
	t.ok(step.type === 'refuse' && step.retryAfterMs >= 3000 && step.retryAfterMs <= 4000);
	t.match(nextStep(demand(), paused(300, 5000), request()), {type: 'wait', reason: 'availability'});
	t.match(nextStep(demand(16), paused(300, 5000), request()), {type: 'refuse'}, 'its slots are taken by those already waiting');
});

t.test('permits are not requested for an endpoint that has asked for a pause', async t => {
	const limitedAndPaused = {...paused(3000, 0), permitStateOf: () => limited(100)};
	t.equal(preferredLimited(demand(), limitedAndPaused, request())?.candidate.announcement.id, 'busy');
	t.match(nextStep(demand(), limitedAndPaused, request()), {type: 'wait'});
});
