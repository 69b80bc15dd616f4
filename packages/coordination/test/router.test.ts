import t from 'tap';
import {
	createCatalog, type Catalog, type HostRecord,
} from '@bitternpaddle/state';
import {
	changedHostIds, chooseEndpoint, createRandom, createRouter, hasRoom, inFlightOn, estimatedLoad, noteEnd, noteFirstByte, noteLoadReport, noteStart, setEntries,
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

const manyHosts = (count: number, specOf: (index: number) => HostSpec = () => ({})): Record<string, HostSpec> => {
	const entries = Array.from({length: count}, (_, index): [string, HostSpec] => [`h${index}`, specOf(index)]);
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

const ask: ChooseOptions = {target: {type: 'model', modelId: 'm'}, tried: new Set()};

const choose = (router: RouterState, nowMs: number, more: Partial<ChooseOptions> = {}): string | null => {
	const choice = chooseEndpoint(router, {...ask, ...more}, nowMs);
	return choice.type === 'chosen' ? choice.endpoint.hostId : null;
};

const end = (router: RouterState, hostId: string, outcome: RequestOutcome, nowMs: number): void => {
	noteEnd(router, hostId, {outcome, hadFirstByte: false}, nowMs);
};

const answered: RequestOutcome = {type: 'answered', latencyMs: 50};
const failed: RequestOutcome = {type: 'failed'};

/** Sends one request after the other each `stepMs`; returns how many each host got. */
const run = (router: RouterState, count: number, outcomeOf: (hostId: string) => RequestOutcome | null, {startMs = 0, stepMs = 10} = {}): Map<string, number> => {
	const counts = new Map<string, number>();
	for (let index = 0; index < count; index++) {
		const nowMs = startMs + (index * stepMs);
		tickRouter(router, nowMs);
		const hostId = choose(router, nowMs);
		if (hostId === null) {
			continue;
		}

		counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
		noteStart(router, hostId, nowMs);
		const outcome = outcomeOf(hostId);
		if (outcome !== null) {
			end(router, hostId, outcome, nowMs + 1);
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

t.test('a full host is never chosen, and all full says so', async t => {
	const {router} = setUp(manyHosts(3));
	for (let index = 0; index < 12; index++) {
		const hostId = choose(router, index)!;
		t.ok(inFlightOn(router, hostId) < 4);
		noteStart(router, hostId, index);
	}

	t.equal(chooseEndpoint(router, ask, 20).type, 'busy');
	t.notOk(hasRoom(router, ask.target));
	end(router, 'h1', answered, 21);
	t.equal(choose(router, 22), 'h1');
	t.equal(choose(router, 22, {tried: new Set(['h1'])}), null, 'what was tried is not tried again');
});

// A version is rolled: hosts leave the group one by one, and a drained one must
// get nothing from the very update on, while what runs on it still counts.
t.test('follows the catalog by the changed hosts alone', async t => {
	const {catalog, router} = setUp(manyHosts(4));
	noteStart(router, 'h0', 1);
	catalog.hosts.h0 = {...catalog.hosts.h0!, status: 'draining'};
	catalog.hosts.h1 = {...catalog.hosts.h1!, readyVersionId: 'm:v2'};
	updateRouter(router, catalog, changedHostIds([{type: 'replicasChanged', readiness: [{hostId: 'h1', incarnation: 1, versionId: 'm:v2'}] as never}]), 2);
	t.ok(run(router, 60, () => answered).has('h0'), 'h0 was not among the changed ones');
	updateRouter(router, catalog, null, 3);
	const counts = run(router, 60, () => answered);
	t.same([...counts.keys()].toSorted(), ['h2', 'h3']);
	t.equal(inFlightOn(router, 'h0'), 1);
	catalog.fleets.f = {...catalog.fleets.f!, versionId: 'm:v2'};
	updateRouter(router, catalog, new Set(), 4);
	t.same([...run(router, 20, () => answered).keys()], ['h1'], 'the version in force as soon as one host has it');
	const {h1, ...others} = catalog.hosts;
	catalog.hosts = others;
	updateRouter(router, catalog, null, 5);
	t.same([...run(router, 60, () => answered).keys()].toSorted(), ['h2', 'h3'], 'while none has it, the version before');
});

// Callers of the entry's own hall wait in its queues while the hall next door
// idles: the spill-over started only when the local hosts were full.
t.test('requests spill to the next zone before the own one is full', async t => {
	const {router} = setUp({...manyHosts(4), far: {zone: 'z9', region: 'r9', capacity: 100}, near: {zone: 'z2', capacity: 4}});
	const starts: string[] = [];
	for (let index = 0; index < 20; index++) {
		const hostId = choose(router, index)!;
		starts.push(hostId);
		noteStart(router, hostId, index);
	}

	t.ok(starts.slice(0, 13).every(id => id.startsWith('h')), 'local below the share');
	t.equal(starts[13], 'near');
	t.ok(starts.includes('far'), 'further away once the region is loaded too');
	t.equal(starts.filter(id => id.startsWith('h')).length, 13, 'the rest of the own zone stays free as long as others have room');
});

// The host that refuses at once is always idle. Chosen by least load it gets
// nearly all requests, and nearly all fail.
t.test('a host that fails fast does not draw the requests', async t => {
	const {router} = setUp(manyHosts(8));
	const counts = run(router, 1000, hostId => hostId === 'h3' ? failed : answered);
	t.ok(counts.get('h3')! <= 10, `${counts.get('h3')} of 1,000 requests in 10 s`);
});

// A host accepts and never answers. No request fails on it before the caller's
// deadline, so by failures alone it takes as many requests as it has room for,
// again and again. Its silence must show first.
t.test('a silent host is ejected by its silence', async t => {
	const {router} = setUp(manyHosts(8, () => ({capacity: 100})));
	for (const hostId of [...router.hosts.keys()].filter(id => id !== 'h3')) {
		for (let index = 0; index < 50; index++) {
			noteStart(router, hostId, 0);
			noteFirstByte(router, hostId, 0);
		}
	}

	const counts = run(router, 1000, hostId => hostId === 'h3' ? null : answered, {stepMs: 50});
	t.ok(counts.get('h3')! <= 20, `${counts.get('h3')} of 1,000 requests in 50 s, while it looks half as loaded as the others`);
	t.ok(counts.size === 8);
});

// A host answers, but twenty times slower than its peers.
t.test('a slow host is ejected by its latency', async t => {
	const {router} = setUp(manyHosts(8));
	const notices: string[] = [];
	for (let index = 0; index < 1000; index++) {
		notices.push(...tickRouter(router, index * 10).map(notice => notice.type === 'ejected' ? `${notice.hostId} ${notice.reason}` : notice.type));
		const hostId = choose(router, index * 10)!;
		noteStart(router, hostId, index * 10);
		noteFirstByte(router, hostId, (index * 10) + 1);
		noteEnd(router, hostId, {outcome: {type: 'answered', latencyMs: hostId === 'h3' ? 4000 : 100}, hadFirstByte: true}, (index * 10) + 1);
	}

	t.ok(notices.includes('h3 latency'), notices.join(', '));
	t.notOk(notices.some(notice => notice.includes('latency') && !notice.startsWith('h3')));
});

// The entry's own network is bad for a moment: every request fails everywhere.
// Ejecting on that signal would leave no endpoint, or all load on a few.
t.test('a bad signal does not eject everybody', async t => {
	const {router} = setUp(manyHosts(10));
	run(router, 200, () => failed);
	const counts = run(router, 400, () => answered, {startMs: 2100});
	t.equal(counts.size, 10);
	t.ok(Math.max(...counts.values()) < 100, `heaviest ${Math.max(...counts.values())} of 400`);
});

t.test('the only endpoint is never ejected', async t => {
	const {router} = setUp(manyHosts(1));
	run(router, 50, () => failed);
	t.equal(choose(router, 1000), 'h0');
});

// One of three halls is gone. Its hosts fail together; until each has failed
// three times, requests are lost on them. The rest must take over, and nothing
// but single probes goes to the lost hall.
t.test('a hall that is gone is left at once', async t => {
	const {router} = setUp(manyHosts(90, index => ({zone: `z${index % 3}`, capacity: 16})), {zoneId: 'entry-zone', minimumPerTier: 90});
	for (let round = 0; round < 8; round++) {
		for (const hostId of router.hosts.keys()) {
			noteStart(router, hostId, round);
			noteFirstByte(router, hostId, round);
		}
	}

	run(router, 300, () => answered);
	const isLost = (hostId: string): boolean => Number(hostId.slice(1)) % 3 === 2;
	const counts = run(router, 1000, hostId => isLost(hostId) ? failed : answered, {startMs: 3000, stepMs: 4});
	t.ok(sumOf(counts, isLost) <= 40, `${sumOf(counts, isLost)} of 1,000 requests to 30 lost hosts`);
	t.ok(sumOf(counts, hostId => !isLost(hostId)) >= 960);
});

// An ejected host comes back healthy. It must not be flooded, and one failure
// more must send it away for longer.
t.test('an ejected host comes back on trial, each time later', async t => {
	const {router} = setUp(manyHosts(4));
	const ejectedUntil: number[] = [];
	for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
		for (const notice of tickRouter(router, nowMs)) {
			if (notice.type === 'ejected') {
				ejectedUntil.push(notice.untilMs - nowMs);
			}
		}

		const hostId = choose(router, nowMs)!;
		noteStart(router, hostId, nowMs);
		end(router, hostId, hostId === 'h2' ? failed : answered, nowMs + 1);
	}

	t.same(ejectedUntil.map(ms => Math.round(ms / 5000)), [1, 2, 4, 8]);
});

// A report says "idle", but it is a second old and this entry has sent four
// requests since. Taken at its word, the host is flooded until the next report.
t.test('old reports are corrected by what was sent since, and fade', async t => {
	const {router} = setUp(manyHosts(2, () => ({capacity: 16})));
	noteStart(router, 'h0', 0);
	for (let index = 0; index < 4; index++) {
		noteStart(router, 'h0', 1000 + index);
	}

	noteLoadReport(router, 'h0', {running: 3, ageMs: 600}, 1500);
	t.equal(estimatedLoad(router, 'h0', 1500), 7, 'five of its own, and two of others: three ran, one of them its own');
	noteLoadReport(router, 'h0', {running: 16, ageMs: 900}, 1510);
	t.equal(estimatedLoad(router, 'h0', 1510), 7, 'an older report that comes late changes nothing');
	noteLoadReport(router, 'h1', {running: 16, ageMs: 0}, 1600);
	t.equal(choose(router, 1600), 'h0', 'h1 is full');
	tickRouter(router, 9000);
	t.ok(estimatedLoad(router, 'h1', 9000) <= 2);
	t.ok(new Set(Array.from({length: 20}, () => choose(router, 9000))).has('h1'), 'it is asked again');
});

// Others' four requests end, this entry starts four, and then a report from
// before all that comes in. By sum the host runs eight of four. When one of the
// four ends, its place stays empty while callers wait, until the report fades.
t.test('an answer frees its place, whatever an old report says', async t => {
	const {router} = setUp(manyHosts(1));
	for (let index = 0; index < 4; index++) {
		noteStart(router, 'h0', 300);
	}

	noteLoadReport(router, 'h0', {running: 4, ageMs: 200}, 400);
	t.equal(chooseEndpoint(router, ask, 450).type, 'busy');
	end(router, 'h0', answered, 500);
	t.equal(choose(router, 500), 'h0');
	noteStart(router, 'h0', 500);
	t.equal(chooseEndpoint(router, ask, 501).type, 'busy', 'one place, not more');
});

t.test('hosts whose load is not known are probed, not more than once a second', async t => {
	const {router} = setUp(manyHosts(2));
	t.match(chooseEndpoint(router, ask, 100), {type: 'chosen', probes: []}, 'a lone entry knows all there is');
	setEntries(router, ['e1', 'e2'], 100);
	const probed: string[] = [];
	for (let nowMs = 100; nowMs < 1100; nowMs += 10) {
		const choice = chooseEndpoint(router, ask, nowMs);
		probed.push(...(choice.type === 'chosen' ? choice.probes.map(endpoint => endpoint.hostId) : []));
	}

	t.same(probed.toSorted(), ['h0', 'h1']);
});

// A replica that has just become ready is idle, so least load sends it a
// burst, which it meets with cold caches.
t.test('a fresh replica starts slowly', async t => {
	const {catalog, router} = setUp(manyHosts(8, () => ({capacity: 16})));
	for (let index = 0; index < 40; index++) {
		noteStart(router, choose(router, index)!, index);
	}

	catalog.hosts.fresh = hostRecord('fresh', {capacity: 16});
	updateRouter(router, catalog, null, 1000);
	for (let index = 0; index < 60; index++) {
		noteStart(router, choose(router, 1001 + index)!, 1001 + index);
	}

	t.ok(inFlightOn(router, 'fresh') <= 2, `${inFlightOn(router, 'fresh')} of 60`);
	for (let index = 0; index < 30; index++) {
		noteStart(router, choose(router, 40_000 + index)!, 40_000 + index);
	}

	t.ok(inFlightOn(router, 'fresh') >= 4, `${inFlightOn(router, 'fresh')} once it is warm`);
});

// Many callers share one long prompt. All on one host, it collapses while
// others idle; spread over all, every host computes the prefix anew.
t.test('a prefix keeps its host until that one is loaded above the others', async t => {
	const {router} = setUp(manyHosts(10, () => ({capacity: 8})));
	const owner = choose(router, 0, {prefixKey: 'menu'})!;
	for (let index = 0; index < 50; index++) {
		t.equal(choose(router, index, {prefixKey: 'menu'}), owner);
	}

	const counts = new Map<string, number>();
	for (let index = 0; index < 40; index++) {
		const hostId = choose(router, 100, {prefixKey: 'menu'})!;
		counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
		noteStart(router, hostId, 100);
	}

	t.ok(counts.get(owner)! >= 4 && counts.get(owner)! <= 6, `${counts.get(owner)} of 40 on the owner, of 8 at most`);
});

// 12,000 hosts and 330 entries: every host must be known to some entries, or
// it idles; and when an entry goes, only its own hosts may move.
t.test('subsets cover every host, evenly, and move little', async t => {
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
	t.ok(Math.min(...coverage.values()) >= 4, 'at least four entries know each host');
	t.ok(Math.max(...sizes) < 220 && Math.min(...sizes) > 100, `subsets from ${Math.min(...sizes)} to ${Math.max(...sizes)}`);
	const after = subsetsOf(entries.slice(1));
	let moved = 0;
	for (const [entryId, subset] of after) {
		moved += [...subset].filter(id => !before.get(entryId)!.has(id)).length;
	}

	t.ok(moved <= before.get('e0')!.size, `${moved} connections are new, the lost entry held ${before.get('e0')!.size}`);
});
