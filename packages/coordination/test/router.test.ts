import t from 'tap';
import {
	createCatalog, type Catalog, type HostRecord,
} from '@bitternpaddle/state';
import {
	changedHostIds, chooseEndpoint, createRandom, createRouter, hasSpareSlots, inFlightOn, estimatedLoad, recordEnd, recordFirstByte, recordLoadReport, recordStart, setEntries,
	tickRouter, updateRouter, type ChooseOptions, type RequestOutcome, type RouterOptions, type RouterState,
} from '@bitternpaddle/coordination';

type HostSpec = {readonly zone?: string; readonly region?: string; readonly capacity?: number};

const hostRecord = (hostId: string, {zone = 'z1', region = 'r1', capacity = 4}: HostSpec = {}): HostRecord => ({
	announcement: {
		hostId, zoneId: zone, regionId: region, serviceId: 's', provider: 'p', address: '127.0.0.1:1', capacity, incarnation: 1, kind: 'engine',
	} as unknown as HostRecord['announcement'],
	status: 'serving', readyVersionId: 'm:v1', assignment: {fleetId: 'f', versionId: 'm:v1', fencingNumber: 1},
});

const createTestCatalog = (hosts: Record<string, HostSpec>): Catalog => {
	const catalog = createCatalog();
	catalog.revision = 1;
	for (const versionId of ['m:v1', 'm:v2']) {
		catalog.versions[versionId] = {versionId, manifestId: 'sha256:0' as never, isWithdrawn: false};
	}

	catalog.fleets.f = {
		fleetId: 'f', provider: 'p', versionId: 'm:v1', previousVersionId: null, replicas: 1, zoneIds: [], isLoaded: true,
	};
	catalog.models.m = {traffic: [{fleetId: 'f', percent: 100}]};
	for (const [hostId, spec] of Object.entries(hosts)) {
		catalog.hosts[hostId] = hostRecord(hostId, spec);
	}

	return catalog;
};

const manyHosts = (count: number, createSpec: (index: number) => HostSpec = () => ({})): Record<string, HostSpec> => {
	const entries = Array.from({length: count}, (_, index): [string, HostSpec] => [`h${index}`, createSpec(index)]);
	return Object.fromEntries(entries);
};

const setUp = (hosts: Record<string, HostSpec>, options: Partial<RouterOptions> = {}) => {
	const catalog = createTestCatalog(hosts);
	const router = createRouter({
		entryId: 'e1', zoneId: 'z1', regionId: 'r1', random: createRandom(7), ...options,
	});
	updateRouter(router, catalog, null, 0);
	return {catalog, router};
};

const chooseOptions: ChooseOptions = {target: {type: 'model', modelId: 'm'}, tried: new Set()};

const choose = (router: RouterState, nowMs: number, more: Partial<ChooseOptions> = {}): string | null => {
	const choice = chooseEndpoint(router, {...chooseOptions, ...more}, nowMs);
	return choice.type === 'chosen' ? choice.endpoint.hostId : null;
};

const endRequest = (router: RouterState, hostId: string, outcome: RequestOutcome, nowMs: number): void => {
	recordEnd(router, hostId, {outcome, hadFirstByte: false}, nowMs);
};

const answered: RequestOutcome = {type: 'answered', latencyMs: 50};
const failed: RequestOutcome = {type: 'failed'};

/** Sends one request every `stepMs`; returns the number of requests per host. */
const sendRequests = (router: RouterState, count: number, outcomeOf: (hostId: string) => RequestOutcome | null, {startMs = 0, stepMs = 10} = {}): Map<string, number> => {
	const counts = new Map<string, number>();
	for (let index = 0; index < count; index++) {
		const nowMs = startMs + (index * stepMs);
		tickRouter(router, nowMs);
		const hostId = choose(router, nowMs);
		if (hostId === null) {
			continue;
		}

		counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
		recordStart(router, hostId, nowMs);
		const outcome = outcomeOf(hostId);
		if (outcome !== null) {
			endRequest(router, hostId, outcome, nowMs + 1);
		}
	}

	return counts;
};

const sumOf = (counts: Map<string, number>, accepts: (hostId: string) => boolean): number => {
	let sum = 0;
	for (const [hostId, count] of counts) {
		sum += accepts(hostId) ? count : 0;
	}

	return sum;
};

t.test('a full host is never chosen, and the result is busy when all are full', async t => {
	const {router} = setUp(manyHosts(3));
	for (let index = 0; index < 12; index++) {
		const hostId = choose(router, index)!;
		t.ok(inFlightOn(router, hostId) < 4);
		recordStart(router, hostId, index);
	}

	t.equal(chooseEndpoint(router, chooseOptions, 20).type, 'busy');
	t.notOk(hasSpareSlots(router, chooseOptions.target));
	endRequest(router, 'h1', answered, 21);
	t.equal(choose(router, 22), 'h1');
	t.equal(choose(router, 22, {tried: new Set(['h1'])}), null, 'a tried host is not chosen again');
});

// During a rollout hosts leave the group one by one. A drained host must get no requests
// as soon as its update is applied, while its running requests still count.
t.test('an update applies only to the changed hosts', async t => {
	const {catalog, router} = setUp(manyHosts(4));
	recordStart(router, 'h0', 1);
	catalog.hosts.h0 = {...catalog.hosts.h0!, status: 'draining'};
	catalog.hosts.h1 = {...catalog.hosts.h1!, readyVersionId: 'm:v2'};
	updateRouter(router, catalog, changedHostIds([{type: 'replicasChanged', readiness: [{hostId: 'h1', incarnation: 1, versionId: 'm:v2'}] as never}]), 2);
	t.ok(sendRequests(router, 60, () => answered).has('h0'), 'h0 was not among the changed ones');
	updateRouter(router, catalog, null, 3);
	const counts = sendRequests(router, 60, () => answered);
	t.same([...counts.keys()].toSorted(), ['h2', 'h3']);
	t.equal(inFlightOn(router, 'h0'), 1);
	catalog.fleets.f = {...catalog.fleets.f!, versionId: 'm:v2'};
	updateRouter(router, catalog, new Set(), 4);
	t.same([...sendRequests(router, 20, () => answered).keys()], ['h1'], 'the version in force is used as soon as one host serves it');
	const {h1, ...others} = catalog.hosts;
	catalog.hosts = others;
	updateRouter(router, catalog, null, 5);
	t.same([...sendRequests(router, 60, () => answered).keys()].toSorted(), ['h2', 'h3'], 'the previous version is used while no host serves the version in force');
});

// If requests spilled over only when all local hosts are full, callers in the entry's
// own zone would wait in its queues while the neighbouring zone is idle.
t.test('requests spill over to the next zone before the entry\'s own zone is full', async t => {
	const {router} = setUp({...manyHosts(4), far: {zone: 'z9', region: 'r9', capacity: 100}, near: {zone: 'z2', capacity: 4}});
	const starts: string[] = [];
	for (let index = 0; index < 20; index++) {
		const hostId = choose(router, index)!;
		starts.push(hostId);
		recordStart(router, hostId, index);
	}

	t.ok(starts.slice(0, 13).every(id => id.startsWith('h')), 'local below the spill threshold');
	t.equal(starts[13], 'near');
	t.ok(starts.includes('far'), 'another region once the own region is loaded too');
	t.equal(starts.filter(id => id.startsWith('h')).length, 13, 'the remainder of the own zone stays free as long as other zones have spare slots');
});

// A host that fails immediately is always idle. If hosts were chosen by load alone, it
// would get nearly all requests, and nearly all would fail.
t.test('a host that fails fast does not attract the requests', async t => {
	const {router} = setUp(manyHosts(8));
	const counts = sendRequests(router, 1000, hostId => hostId === 'h3' ? failed : answered);
	t.ok(counts.get('h3')! <= 10, `${counts.get('h3')} of 1,000 requests in 10 s`);
});

// A host accepts requests and never answers. No request fails before the caller's
// deadline, so if only failures counted, the host would be filled with requests again and
// again. The missing first bytes must eject it earlier.
t.test('a host that sends no first byte is ejected', async t => {
	const {router} = setUp(manyHosts(8, () => ({capacity: 100})));
	for (const hostId of [...router.hosts.keys()].filter(id => id !== 'h3')) {
		for (let index = 0; index < 50; index++) {
			recordStart(router, hostId, 0);
			recordFirstByte(router, hostId, 0);
		}
	}

	const counts = sendRequests(router, 1000, hostId => hostId === 'h3' ? null : answered, {stepMs: 50});
	t.ok(counts.get('h3')! <= 20, `${counts.get('h3')} of 1,000 requests in 50 s, while it looks half as loaded as the others`);
	t.ok(counts.size === 8);
});

// A host answers, but 40 times slower than its peers.
t.test('a slow host is ejected because of its latency', async t => {
	const {router} = setUp(manyHosts(8));
	const notices: string[] = [];
	for (let index = 0; index < 1000; index++) {
		notices.push(...tickRouter(router, index * 10).map(notice => notice.type === 'ejected' ? `${notice.hostId} ${notice.reason}` : notice.type));
		const hostId = choose(router, index * 10)!;
		recordStart(router, hostId, index * 10);
		recordFirstByte(router, hostId, (index * 10) + 1);
		recordEnd(router, hostId, {outcome: {type: 'answered', latencyMs: hostId === 'h3' ? 4000 : 100}, hadFirstByte: true}, (index * 10) + 1);
	}

	t.ok(notices.includes('h3 latency'), notices.join(', '));
	t.notOk(notices.some(notice => notice.includes('latency') && !notice.startsWith('h3')));
});

// The entry's own network fails briefly, and every request fails on every host. Ejecting
// hosts because of this would leave no endpoint, or the entire load on a few.
t.test('a failure of all requests does not eject all hosts', async t => {
	const {router} = setUp(manyHosts(10));
	sendRequests(router, 200, () => failed);
	const counts = sendRequests(router, 400, () => answered, {startMs: 2100});
	t.equal(counts.size, 10);
	t.ok(Math.max(...counts.values()) < 100, `most loaded host: ${Math.max(...counts.values())} of 400`);
});

t.test('the only endpoint is never ejected', async t => {
	const {router} = setUp(manyHosts(1));
	sendRequests(router, 50, () => failed);
	t.equal(choose(router, 1000), 'h0');
});

// One of three availability zones fails, and all of its hosts with it. If each host had
// to fail three times first, many requests would be lost. The remaining zones must take
// over, and only single trial requests may go to the failed zone.
t.test('a failed availability zone is excluded immediately', async t => {
	const {router} = setUp(manyHosts(90, index => ({zone: `z${index % 3}`, capacity: 16})), {zoneId: 'entry-zone', minimumPerTier: 90});
	for (let round = 0; round < 8; round++) {
		for (const hostId of router.hosts.keys()) {
			recordStart(router, hostId, round);
			recordFirstByte(router, hostId, round);
		}
	}

	sendRequests(router, 300, () => answered);
	const isLost = (hostId: string): boolean => Number(hostId.slice(1)) % 3 === 2;
	const counts = sendRequests(router, 1000, hostId => isLost(hostId) ? failed : answered, {startMs: 3000, stepMs: 4});
	t.ok(sumOf(counts, isLost) <= 40, `${sumOf(counts, isLost)} of 1,000 requests to 30 lost hosts`);
	t.ok(sumOf(counts, hostId => !isLost(hostId)) >= 960);
});

// An ejected host is readmitted after it has recovered. It must not be flooded with
// requests, and one further failure must eject it again, each time for longer.
t.test('an ejected host is readmitted on probation, each time after a longer ejection', async t => {
	const {router} = setUp(manyHosts(4));
	const ejectedUntil: number[] = [];
	for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
		for (const notice of tickRouter(router, nowMs)) {
			if (notice.type === 'ejected') {
				ejectedUntil.push(notice.untilMs - nowMs);
			}
		}

		const hostId = choose(router, nowMs)!;
		recordStart(router, hostId, nowMs);
		endRequest(router, hostId, hostId === 'h2' ? failed : answered, nowMs + 1);
	}

	t.same(ejectedUntil.map(ms => Math.round(ms / 5000)), [1, 2, 4, 8]);
});

// A report says that a host is idle, but it is a second old and this entry has sent four
// requests since. If it were used unchanged, the host would be overloaded until the next report.
t.test('old reports are corrected by later requests, and decay', async t => {
	const {router} = setUp(manyHosts(2, () => ({capacity: 16})));
	recordStart(router, 'h0', 0);
	for (let index = 0; index < 4; index++) {
		recordStart(router, 'h0', 1000 + index);
	}

	recordLoadReport(router, 'h0', {running: 3, ageMs: 600}, 1500);
	t.equal(estimatedLoad(router, 'h0', 1500), 7, 'five requests of this entry and two of others: three were running, one of them from this entry');
	recordLoadReport(router, 'h0', {running: 16, ageMs: 900}, 1510);
	t.equal(estimatedLoad(router, 'h0', 1510), 7, 'a delayed older report changes nothing');
	recordLoadReport(router, 'h1', {running: 16, ageMs: 0}, 1600);
	t.equal(choose(router, 1600), 'h0', 'h1 is full');
	tickRouter(router, 9000);
	t.ok(estimatedLoad(router, 'h1', 9000) <= 2);
	t.ok(new Set(Array.from({length: 20}, () => choose(router, 9000))).has('h1'), 'h1 is chosen again');
});

// Four requests of other entries end, this entry starts four, and then a report from
// before all of that arrives: the estimate is eight running requests on four slots. When one
// of the four ends, its slot would stay unused while callers wait, until the report has decayed.
t.test('an answer frees its slot regardless of an old report', async t => {
	const {router} = setUp(manyHosts(1));
	for (let index = 0; index < 4; index++) {
		recordStart(router, 'h0', 300);
	}

	recordLoadReport(router, 'h0', {running: 4, ageMs: 200}, 400);
	t.equal(chooseEndpoint(router, chooseOptions, 450).type, 'busy');
	endRequest(router, 'h0', answered, 500);
	t.equal(choose(router, 500), 'h0');
	recordStart(router, 'h0', 500);
	t.equal(chooseEndpoint(router, chooseOptions, 501).type, 'busy', 'exactly one slot is free');
});

t.test('hosts whose load is unknown are probed at most once per second', async t => {
	const {router} = setUp(manyHosts(2));
	t.match(chooseEndpoint(router, chooseOptions, 100), {type: 'chosen', probes: []}, 'a single entry knows the entire load');
	setEntries(router, ['e1', 'e2'], 100);
	const probed: string[] = [];
	for (let nowMs = 100; nowMs < 1100; nowMs += 10) {
		const choice = chooseEndpoint(router, chooseOptions, nowMs);
		probed.push(...(choice.type === 'chosen' ? choice.probes.map(endpoint => endpoint.hostId) : []));
	}

	t.same(probed.toSorted(), ['h0', 'h1']);
});

// A replica that has just become ready is idle. If hosts were chosen by load alone, it
// would get a burst of requests while its caches are cold.
t.test('a new replica ramps up slowly', async t => {
	const {catalog, router} = setUp(manyHosts(8, () => ({capacity: 16})));
	for (let index = 0; index < 40; index++) {
		recordStart(router, choose(router, index)!, index);
	}

	catalog.hosts.fresh = hostRecord('fresh', {capacity: 16});
	updateRouter(router, catalog, null, 1000);
	for (let index = 0; index < 60; index++) {
		recordStart(router, choose(router, 1001 + index)!, 1001 + index);
	}

	t.ok(inFlightOn(router, 'fresh') <= 2, `${inFlightOn(router, 'fresh')} of 60`);
	for (let index = 0; index < 30; index++) {
		recordStart(router, choose(router, 40_000 + index)!, 40_000 + index);
	}

	t.ok(inFlightOn(router, 'fresh') >= 4, `${inFlightOn(router, 'fresh')} once it is warm`);
});

// Many callers share one long prompt prefix. If all went to one host, it would be
// overloaded while others are idle; if they were spread over all hosts, every host
// would have to compute the prefix.
t.test('a prefix stays on its host until that host is loaded more than the others', async t => {
	const {router} = setUp(manyHosts(10, () => ({capacity: 8})));
	const owner = choose(router, 0, {prefixKey: 'menu'})!;
	for (let index = 0; index < 50; index++) {
		t.equal(choose(router, index, {prefixKey: 'menu'}), owner);
	}

	const counts = new Map<string, number>();
	for (let index = 0; index < 40; index++) {
		const hostId = choose(router, 100, {prefixKey: 'menu'})!;
		counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
		recordStart(router, hostId, 100);
	}

	t.ok(counts.get(owner)! >= 4 && counts.get(owner)! <= 6, `${counts.get(owner)} of 40 on the owner, of 8 at most`);
});

// With 12,000 hosts and 330 entries (here a tenth of each), every host must be in the
// subsets of some entries; otherwise it would be idle. When an entry leaves, only its
// own hosts may move.
t.test('subsets cover every host evenly and change little', async t => {
	const hosts = manyHosts(1200, index => ({zone: `z${index % 31}`, region: `r${index % 9}`}));
	const entries = Array.from({length: 33}, (_, index) => `e${index}`);
	const subsetsOf = (names: readonly string[]): Map<string, Set<string>> => new Map(names.map(entryId => {
		const {router} = setUp(hosts, {entryId, minimumPerTier: 4});
		let isDone = false;
		while (!isDone) {
			isDone = setEntries(router, names, 1);
		}

		return [entryId, new Set([...router.hosts.values()].filter(host => host.isActive).map(host => host.hostId))];
	}));
	const before = subsetsOf(entries);
	const coverage = new Map<string, number>();
	for (const subset of before.values()) {
		for (const hostId of subset) {
			coverage.set(hostId, (coverage.get(hostId) ?? 0) + 1);
		}
	}

	const sizes = [...before.values()].map(subset => subset.size);
	t.equal(coverage.size, 1200);
	t.ok(Math.min(...coverage.values()) >= 4, 'each host is in the subsets of at least four entries');
	t.ok(Math.max(...sizes) < 220 && Math.min(...sizes) > 100, `subsets from ${Math.min(...sizes)} to ${Math.max(...sizes)}`);
	const after = subsetsOf(entries.slice(1));
	let moved = 0;
	for (const [entryId, subset] of after) {
		moved += [...subset].filter(id => !before.get(entryId)!.has(id)).length;
	}

	t.ok(moved <= before.get('e0')!.size, `${moved} new connections, the removed entry had ${before.get('e0')!.size}`);
});
