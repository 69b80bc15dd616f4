import t from 'tap';
import fc from 'fast-check';
import {createCatalog, type Catalog, type HostRecord} from '@bitternpaddle/state';
import {
	chooseEndpoint, createRandom, createRouter, recordEnd, recordStart, tickRouter, updateRouter, type RouterOptions, type RouterState,
} from '@bitternpaddle/coordination';

const recordOf = (hostId: string): HostRecord => ({
	announcement: {
		hostId, zoneId: 'z1', regionId: 'r1', serviceId: 's', provider: 'p', address: '127.0.0.1:1', capacity: 4, incarnation: 1, kind: 'engine',
	} as unknown as HostRecord['announcement'],
	status: 'serving', readyVersionId: 'm:v1', assignment: {fleetId: 'f', versionId: 'm:v1', fencingNumber: 1},
});

const setUp = (count: number, options: Partial<RouterOptions> = {}): {catalog: Catalog; router: RouterState} => {
	const catalog = createCatalog();
	catalog.revision = 1;
	catalog.versions['m:v1'] = {versionId: 'm:v1', manifestId: 'sha256:0' as never, isWithdrawn: false};
	catalog.fleets.f = {
		fleetId: 'f', provider: 'p', versionId: 'm:v1', previousVersionId: null, replicas: count, zoneIds: [], isLoaded: true,
	};
	catalog.models.m = {traffic: [{fleetId: 'f', percent: 100}]};
	for (let index = 0; index < count; index++) {
		catalog.hosts[`h${index}`] = recordOf(`h${index}`);
	}

	const router = createRouter({
		entryId: 'e1', zoneId: 'z1', regionId: 'r1', random: createRandom(7), panicMs: 0, ...options,
	});
	updateRouter(router, catalog, null, 0);
	return {catalog, router};
};

const choose = (router: RouterState, nowMs: number): string | null => {
	const choice = chooseEndpoint(router, {target: {type: 'model', modelId: 'm'}, tried: new Set()}, nowMs);
	return choice.type === 'chosen' ? choice.endpoint.hostId : null;
};

const ejectedHostIds = (router: RouterState): string[] => [...router.hosts.values()].filter(({isEjected}) => isEjected).map(({hostId}) => hostId);

/** Sends one request to the chosen host and lets it fail. */
const sendFailingRequest = (router: RouterState, nowMs: number): void => {
	tickRouter(router, nowMs);
	const hostId = choose(router, nowMs);
	if (hostId !== null) {
		recordStart(router, hostId, nowMs);
		recordEnd(router, hostId, {outcome: {type: 'failed'}, hadFirstByte: false}, nowMs + 1);
	}
};

// The entry's own network fails and every request fails on every host. Panic mode,
// which would readmit all hosts, is disabled: the limit alone must keep half of the
// hosts in use for requests that do get through.
t.test('the limit alone keeps hosts in use when all requests fail', async t => {
	for (const [count, limit] of [[1, 0], [2, 1], [3, 1], [10, 5], [30, 15]] as const) {
		const {router} = setUp(count, {minimumPerTier: 30});
		let maxEjectedCount = 0;
		for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
			sendFailingRequest(router, nowMs);
			maxEjectedCount = Math.max(maxEjectedCount, ejectedHostIds(router).length);
		}

		t.equal(maxEjectedCount, limit, `${count} hosts`);
		t.not(choose(router, 30_000), null);
	}
});

t.test('the limit is a router option', async t => {
	const {router} = setUp(10, {maxEjectedShare: 0.2});
	for (let nowMs = 0; nowMs < 5000; nowMs += 10) {
		sendFailingRequest(router, nowMs);
	}

	t.equal(ejectedHostIds(router).length, 2);
});

// Five of ten hosts are ejected; then an operator drains the other five. All remaining
// hosts are ejected, and callers wait although the hosts may have recovered.
t.test('the limit holds when healthy hosts leave', async t => {
	const {catalog, router} = setUp(10);
	for (let nowMs = 0; ejectedHostIds(router).length < 5; nowMs += 10) {
		sendFailingRequest(router, nowMs);
	}

	const ejected = ejectedHostIds(router);
	for (const [hostId, record] of Object.entries(catalog.hosts)) {
		catalog.hosts[hostId] = ejected.includes(hostId) ? record : {...record, status: 'draining'};
	}

	updateRouter(router, catalog, null, 1000);
	tickRouter(router, 1000);
	t.equal(ejectedHostIds(router).length, 2, 'two of five');
	t.ok(ejected.includes(choose(router, 1000)!));
});

t.test('the limit holds after each tick of any schedule', async t => {
	const stepArbitrary = fc.oneof(
		{weight: 8, arbitrary: fc.constant<'fail'>('fail')},
		{weight: 1, arbitrary: fc.record({hostId: fc.nat(11), isServing: fc.boolean()})},
	);
	fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 50, maxLength: 300}), steps => {
		const {catalog, router} = setUp(12);
		for (const [index, step] of steps.entries()) {
			const nowMs = index * 50;
			if (step === 'fail') {
				sendFailingRequest(router, nowMs);
			} else {
				const hostId = `h${step.hostId}`;
				catalog.hosts[hostId] = {...recordOf(hostId), status: step.isServing ? 'serving' : 'draining'};
				updateRouter(router, catalog, new Set([hostId]), nowMs);
			}

			tickRouter(router, nowMs + 2);
			const serving = Object.values(catalog.hosts).filter(({status}) => status === 'serving').length;
			const limit = serving < 2 ? 0 : Math.max(1, Math.floor(serving / 2));
			if (ejectedHostIds(router).length > limit) {
				throw new Error(`${ejectedHostIds(router).length} of ${serving} ejected at step ${index}`);
			}
		}
	}), {seed: 40_042, numRuns: 100});
	t.pass('100 schedules, seed 40042');
});
