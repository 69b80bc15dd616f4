import type {
	EngineProfile, Route, RoutingConfiguration, Team,
} from '@bitternpaddle/state';
import t from 'tap';
import {
	createPriorityDemand, createRandom, createRetryPromises, fairShare, hasIdleEngines, mayWaitInOrder, prioritiesByService,
	promiseRetry, queuedAheadShare, recordDemand, recordLack, recordReceivedDemand, recordRefusedDemand, recordServed,
	roomLimitOf, spareFirstTokenMs, totalDemand, createEndpointHealth, createEndpointLoad, type Candidate, type DemandFigures, type PriorityDemand, type RoomLimit,
} from '@bitternpaddle/coordination';

const profile: EngineProfile = {
	slots: 12, stepsPerPass: 6, stepMs: 8.9, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 19_100, usualPromptTokens: 973, usualAnswerTokens: 106,
	kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
};
const nowMs = 1000;
const freeMs = spareFirstTokenMs(profile);
const topLimitMs = 320;
const priorities = [0, 1, 2];
const random = createRandom(1);

type Group = {
	readonly priority: number;
	readonly teamName?: string;
	readonly promptTokens?: number;
	readonly arrived: number;
	/** @default all that arrived */
	readonly served?: number;
	readonly lacking?: number;
	readonly refused?: number;
};

const demandOfGroups = (groups: readonly Group[]): PriorityDemand => {
	const demand = createPriorityDemand();
	for (const {priority, teamName = null, promptTokens = 973, arrived, served = arrived, lacking = 0, refused = 0} of groups) {
		const occurrence = {
			source: {
				priority, teamName, promptTokens, routeName: `route-${priority}`,
			}, profile, nowMs,
		};
		const repeat = (count: number, record: () => void): void => {
			for (let index = 0; index < count; index++) {
				record();
			}
		};

		repeat(arrived, () => {
			recordDemand(demand, occurrence, 100);
		});
		repeat(served, () => {
			recordServed(demand, occurrence, 100);
		});
		repeat(lacking, () => {
			recordLack(demand, occurrence);
		});
		repeat(refused, () => {
			recordRefusedDemand(demand, occurrence);
		});
	}

	return demand;
};

type Source = {readonly priority: number; readonly teamName?: string | null; readonly promptTokens?: number; readonly atMs?: number};

const limitOf = (demand: PriorityDemand, {priority, teamName = null, promptTokens = 973, atMs = nowMs}: Source): RoomLimit => roomLimitOf({priorities, demand, promises: createRetryPromises()}, {
	priority, teamName, promptTokens, routeName: `route-${priority}`, profile, topLimitMs, random, nowMs: atMs,
});

t.test('without a lack of capacity, each priority is limited by its own objective alone', async t => {
	const demand = demandOfGroups([{priority: 0, arrived: 50}, {priority: 1, arrived: 50}, {priority: 2, arrived: 100}]);
	for (const priority of priorities) {
		t.match(limitOf(demand, {priority}), {rule: 'own', limitMs: Number.POSITIVE_INFINITY, isOverloaded: false});
	}
});

// Guards against a burst of the least urgent kind that takes the capacity of the most
// urgent one because its objective is longer.
t.test('while urgent requests find no free slot, less urgent ones are limited by rank', async t => {
	const demand = demandOfGroups([{priority: 0, arrived: 50, lacking: 10}, {priority: 1, arrived: 50}, {priority: 2, arrived: 300}]);
	t.match(limitOf(demand, {priority: 0}), {rule: 'own'});
	t.match(limitOf(demand, {priority: 1}), {rule: 'urgent', limitMs: (topLimitMs + freeMs) / 2});
	t.match(limitOf(demand, {priority: 2}), {rule: 'urgent', limitMs: freeMs});
});

// Guards against final refusals of urgent callers while less urgent requests are admitted.
t.test('a caller retry gets what first attempts of the next priority get, and that of the least urgent only free slots', async t => {
	const demand = demandOfGroups([{priority: 0, arrived: 50, lacking: 10}, {priority: 1, arrived: 50}, {priority: 2, arrived: 300}]);
	t.equal(limitOf(demand, {priority: 0}).retryLimitMs, limitOf(demand, {priority: 1}).limitMs);
	t.equal(limitOf(demand, {priority: 1}).retryLimitMs, limitOf(demand, {priority: 2}).limitMs);
	t.equal(limitOf(demand, {priority: 2}).retryLimitMs, 0);
});

t.test('a lack of capacity for less urgent requests restricts no more urgent ones', async t => {
	const demand = demandOfGroups([{priority: 0, arrived: 50}, {priority: 1, arrived: 50}, {
		priority: 2, arrived: 300, served: 200, lacking: 300, refused: 100,
	}]);
	t.match(limitOf(demand, {priority: 0}), {rule: 'own', isOverloaded: false});
	t.match(limitOf(demand, {priority: 1}), {rule: 'own', isOverloaded: false});
	t.match(limitOf(demand, {priority: 2}), {rule: 'own', isOverloaded: true});
});

t.test('a handful of urgent requests does not restrict the others', async t => {
	const demand = demandOfGroups([{priority: 0, arrived: 2, lacking: 2}, {priority: 2, arrived: 300}]);
	t.match(limitOf(demand, {priority: 2}), {rule: 'own'});
});

// Guards against starvation under sustained overload by more urgent requests.
t.test('a priority, a team or a size below its minimum share is limited like the most urgent priority', async t => {
	const urgent = {
		priority: 0, arrived: 100, served: 80, lacking: 80,
	};
	t.match(limitOf(demandOfGroups([urgent, {priority: 2, arrived: 50, served: 5}]), {priority: 2}), {rule: 'minimum', limitMs: topLimitMs});
	t.match(limitOf(demandOfGroups([urgent, {priority: 2, arrived: 50, served: 25}]), {priority: 2}), {rule: 'urgent'}, 'and only until it has its share');
	const teams = demandOfGroups([urgent, {
		priority: 2, teamName: 'a', arrived: 50, served: 40,
	}, {
		priority: 2, teamName: 'b', arrived: 10, served: 0,
	}]);
	t.match(limitOf(teams, {priority: 2, teamName: 'b'}), {rule: 'minimum'});
	t.match(limitOf(teams, {priority: 2, teamName: 'a'}), {rule: 'urgent'});
	const sizes = demandOfGroups([urgent, {priority: 2, arrived: 50, served: 40}, {
		priority: 2, promptTokens: 7000, arrived: 10, served: 0,
	}]);
	t.match(limitOf(sizes, {priority: 2, promptTokens: 7000}), {rule: 'minimum'});
});

// Guards against a team that takes the capacity of the others by sending ten times as much.
t.test('under overload, a team beyond its fair share gets a free slot only, for the part beyond it', async t => {
	const demand = demandOfGroups([{
		priority: 1, teamName: 'a', arrived: 200, served: 100, refused: 100,
	}, {
		priority: 1, teamName: 'b', arrived: 20, served: 20,
	}]);
	const rules = Array.from({length: 400}, () => limitOf(demand, {priority: 1, teamName: 'a'}).rule);
	const share = rules.filter(rule => rule === 'own').length / rules.length;
	t.ok(Math.abs(share - 0.5) < 0.1, `fair share of ${share}, for 100 of the 200 requested`);
	t.match(limitOf(demand, {priority: 1, teamName: 'b'}), {rule: 'own'});
	t.equal(fairShare([20, 200, 300], 220), 100);
	t.equal(fairShare([20, 30], 100), Number.POSITIVE_INFINITY);
});

const figures = (fields: Partial<DemandFigures>): DemandFigures => ({
	arrived: 0, lacking: 0, refused: 0, served: 0, requestedWorkMs: 0, servedWorkMs: 0, ...fields,
});

// Guards against entries whose zones differ in load refusing different priorities.
t.test('the demand of other entries counts, less with its age, and not beyond one second', async t => {
	const demand = demandOfGroups([{priority: 0, arrived: 50}, {priority: 2, arrived: 50}]);
	t.match(limitOf(demand, {priority: 2}), {rule: 'own', demandAgeMs: null});
	recordReceivedDemand(demand, 'entry-2', {atMs: nowMs, figures: new Map([['all', figures({arrived: 50, served: 25})], ['p0', figures({arrived: 50, served: 25, refused: 25})]])});
	t.match(limitOf(demand, {priority: 2}), {rule: 'urgent', demandAgeMs: 0});
	const served = (atMs: number): number => totalDemand(demand, atMs).figuresOf('p0').refused;
	t.ok(served(nowMs + 500) < served(nowMs + 100));
	t.match(limitOf(demand, {priority: 2, atMs: nowMs + 1000}), {rule: 'own', demandAgeMs: null}, 'an entry that is gone has no effect after a second');
});

t.test('the estimate for a request counts the queued requests of its own and more urgent priorities', async t => {
	const room = {
		priorities, demand: demandOfGroups([{priority: 0, arrived: 25}, {priority: 2, arrived: 75}]), promises: createRetryPromises(),
	};
	t.equal(queuedAheadShare(room, 0, nowMs), 0.25);
	t.equal(queuedAheadShare(room, 2, nowMs), 1);
	t.equal(queuedAheadShare({...room, demand: createPriorityDemand()}, 0, nowMs), 1, 'all of them while nothing is known');
});

const engine = (running: number, queued = 0): Candidate => ({
	announcement: {
		id: 'e', serviceName: 's', address: 'e:80', zoneId: 'z', slots: 12, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
	},
	load: {
		...createEndpointLoad(), wholeVersion: 1, reportedAtMs: 900, report: {
			running, queued, pace: 1, isBusy: false, isStrained: false, weights: {type: 'unknown'}, readyInMs: null,
		},
	},
	health: createEndpointHealth(),
});

t.test('engines are idle while fewer than half of their slots are taken and nothing is queued', async t => {
	t.ok(hasIdleEngines([engine(5), engine(6)], 0, nowMs));
	t.notOk(hasIdleEngines([engine(6), engine(6)], 0, nowMs));
	t.notOk(hasIdleEngines([engine(0), engine(5, 1)], 0, nowMs));
	t.notOk(hasIdleEngines([engine(5), engine(6)], 20, nowMs), 'requests of other entries since the reports count');
	t.notOk(hasIdleEngines([], 0, nowMs));
});

const route = (fields: Pick<Route, 'priority'> & Partial<Route>): Route => ({
	name: 'r', host: 'h', prefix: '/', retryClass: 'streaming', timeoutMs: 6000, objectiveMs: 400, pauseObjectiveMs: null, targets: [{serviceName: 's', weight: 1}], maxAttempts: 2,
	isPublic: false, isResumable: true, ...fields,
});
const team = (priority: number | null): Team => ({name: `team-${priority}`, keys: [], priority});

t.test('the priorities of a service follow from its routes and teams', async t => {
	const configuration = (routes: readonly Route[], teams: readonly Team[] | null): RoutingConfiguration => ({
		number: 1, routes, services: [], teams, limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	});
	const prioritiesOf = (routes: readonly Route[], teams: readonly Team[] | null): readonly number[] | undefined => prioritiesByService(configuration(routes, teams)).get('s');
	t.same(prioritiesOf([route({priority: 2}), route({priority: 0})], null), [0, 2]);
	t.same(prioritiesOf([route({priority: 2}), route({priority: 0})], [team(1)]), [1], 'a team\'s priority takes precedence');
	t.same(prioritiesOf([route({priority: 2})], [team(1), team(null)]), [1, 2]);
	t.same(prioritiesOf([route({priority: 2, isPublic: true})], [team(1)]), [2], 'callers of a public route have no team');
});

t.test('a first attempt waits for an eighth of its objective, a retry for as long as it is expected to be served', async t => {
	const demand = demandOfGroups([{priority: 0, arrived: 4}, {priority: 2, arrived: 8}]);
	const mayWait = (fields: {priority: number; isLastTry: boolean; waitedMs?: number; timeToStartMs?: number; aheadCount?: number}): boolean => mayWaitInOrder({
		demand, priorities, objectiveMs: 800, waitedMs: 0, timeToStartMs: 2000, aheadCount: 0, nowMs, ...fields,
	});
	t.ok(mayWait({priority: 2, isLastTry: false, waitedMs: 90}));
	t.notOk(mayWait({priority: 2, isLastTry: false, waitedMs: 110}));
	t.ok(mayWait({
		priority: 2, isLastTry: true, waitedMs: 1000, aheadCount: 7,
	}), 'eight are served in two seconds');
	t.notOk(mayWait({priority: 2, isLastTry: true, aheadCount: 8}));
	t.ok(mayWait({priority: 0, isLastTry: true, aheadCount: 8}), 'it takes the capacity of less urgent requests');
	t.notOk(mayWait({priority: 0, isLastTry: true, timeToStartMs: 0}), 'an answer would be cut');
});

// Guards against refused callers that all come back at once, and find no capacity again.
t.test('refused callers get retry times at which capacity is expected, older refusals first', async t => {
	const promises = createRetryPromises();
	const promise = (priority: number, capacityPerSecond = 10): number => promiseRetry(promises, {
		priority, capacityPerSecond, excessWaitMs: 100, remainingMs: 6000, random, nowMs,
	});
	t.equal(promise(1), 800);
	t.equal(promise(1), 1000, 'half of the capacity is promised');
	t.equal(promise(2), 1200, 'behind more urgent refusals');
	t.equal(promise(0), 800, 'before less urgent ones');
	t.ok(Array.from({length: 50}, () => promise(1)).every(ms => ms <= 2000), 'callers wait no longer than a third of their time');
	const late = Array.from({length: 50}, () => promise(1, 0));
	t.ok(Math.min(...late) < 1200 && Math.max(...late) > 1800, 'without capacity they are spread');
});
