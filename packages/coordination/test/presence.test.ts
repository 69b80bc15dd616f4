import fc from 'fast-check';
import t from 'tap';
import {match} from 'ts-pattern';
import {hostReportSchema, type Fold, type HostReport} from '@bitternpaddle/protocol';
import {
	applyChange, createCatalog, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';
import {
	confirmedRevision, createLossBudget, createPresence, createReportFold, hearFold, hearWatch, inForceOf, isOutOfService, noteSilentMembers, planMembership,
	resetPresence, restartFold, takeFold, type Presence, type ReportFold,
} from '@bitternpaddle/coordination';

const options = {hostLeaseMs: 5000, memberLeaseMs: 3000};

const entryReport = (hostId: string, revision: number, failingHostIds: string[] = []): HostReport => ({
	hostId, role: 'entry', address: '127.0.0.1:1', revision, requestsInFlight: 0, announcement: null, readyVersionId: null, isLeaving: false, transfers: [], failingHostIds,
});

const agentReport = (hostId: string, zoneId = 'z1'): HostReport => hostReportSchema.parse({
	...entryReport(hostId, 1), role: 'agent', announcement: {
		hostId, zoneId, regionId: 'r1', serviceId: 's1', provider: 'new', address: '127.0.0.1:1', capacity: 1, incarnation: 1, kind: 'engine',
	},
});

const renew = (fold: ReportFold, {hostId, revision, session = 1, nowMs}: {hostId: string; revision: number; session?: number; nowMs: number}): void => {
	if (!hearWatch(fold, {
		hostId, session, revision, report: null,
	}, nowMs)) {
		hearWatch(fold, {
			hostId, session, revision, report: entryReport(hostId, revision),
		}, nowMs);
	}
};

const send = (presence: Presence, fold: ReportFold, nowMs: number): number => {
	const message = takeFold(fold, nowMs);
	if (message === null) {
		return 0;
	}

	if (!hearFold(presence, message, nowMs)) {
		restartFold(fold);
	}

	return JSON.stringify(message).length;
};

// 17 control hosts carry 12,330 hosts, each with a renewal a second. If the
// leader were told of each, that would be all it does. A control host whose
// hosts are as before says so in one message of the same size as for one host.
t.test('an idle second costs the leader nothing per host', async t => {
	const sizes = [1, 725].map(hosts => {
		const presence = createPresence(options);
		const fold = createReportFold({memberId: 'c1', silentMs: 5000, epoch: 1});
		let idleBytes = 0;
		for (let second = 0; second < 4; second++) {
			for (let host = 0; host < hosts; host++) {
				renew(fold, {hostId: `h${host}`, revision: 7, nowMs: second * 1000});
			}

			idleBytes = send(presence, fold, second * 1000);
		}

		t.match(inForceOf(presence, 7, 3000), {hosts, inForce: hosts});
		return idleBytes;
	});
	t.equal(sizes[0], sizes[1]);
	t.ok(sizes[1]! < 150, `${sizes[1]} bytes`);
});

// A host turns from one control host to another. The old one calls it silent
// afterwards; taken at its word, a living host would be lost.
t.test('a host that moved is not lost when its old control host misses it', async t => {
	const presence = createPresence(options);
	const [before, after] = ['c1', 'c2'].map(memberId => createReportFold({memberId, silentMs: 5000, epoch: 1})) as [ReportFold, ReportFold];
	renew(before, {hostId: 'h1', revision: 1, nowMs: 0});
	send(presence, before, 0);
	renew(after, {
		hostId: 'h1', revision: 1, session: 2, nowMs: 1000,
	});
	send(presence, after, 1000);
	send(presence, before, 6000);
	t.notOk(presence.silent.has('h1'));
	t.equal(presence.hosts.get('h1')!.memberId, 'c2');
});

// The control host of a host is cut off from the leader. For a while the host
// may serve on its lease, so it counts as missing; then its lease has surely run
// out, and it counts on neither side.
t.test('a host behind a cut is missing first and out of service later, never in force', async t => {
	const presence = createPresence(options);
	const fold = createReportFold({memberId: 'c1', silentMs: 5000, epoch: 1});
	renew(fold, {hostId: 'h1', revision: 5, nowMs: 0});
	send(presence, fold, 0);
	t.match(inForceOf(presence, 5, 10), {hosts: 1, inForce: 1});
	t.match(inForceOf(presence, 6, 10), {hosts: 1, inForce: 0, missing: ['h1']});
	noteSilentMembers(presence, 3001);
	t.match(inForceOf(presence, 5, 3001), {hosts: 1, inForce: 0, missing: ['h1']});
	t.match(inForceOf(presence, 5, 7999), {hosts: 1, inForce: 0, missing: ['h1']});
	t.match(inForceOf(presence, 6, 8001), {
		hosts: 0, inForce: 0, missing: [], outOfService: ['h1'],
	});
});

// A host confirms late while the others are there. It is named, and counted once
// it has confirmed; nothing else is sent for the others.
t.test('a host that is behind is named until it confirms', async t => {
	const presence = createPresence(options);
	const fold = createReportFold({memberId: 'c1', silentMs: 5000, epoch: 1});
	for (const [hostId, revision] of [['h1', 5], ['h2', 5], ['h3', 5]] as const) {
		renew(fold, {hostId, revision, nowMs: 0});
	}

	send(presence, fold, 0);
	renew(fold, {hostId: 'h1', revision: 6, nowMs: 1000});
	renew(fold, {hostId: 'h3', revision: 6, nowMs: 1000});
	send(presence, fold, 1000);
	t.match(inForceOf(presence, 6, 1000), {hosts: 3, inForce: 2, missing: ['h2']});
	renew(fold, {hostId: 'h2', revision: 6, nowMs: 2000});
	send(presence, fold, 2000);
	t.match(inForceOf(presence, 6, 2000), {hosts: 3, inForce: 3, missing: []});
});

// A message to the leader hangs in a connection that stalled; its sender gives it
// up and says everything anew: the host has restarted and has no copy. Then the
// old message arrives after all. Taken, it would count the host as in force.
t.test('a message that was given up is not taken when it comes late', async t => {
	const presence = createPresence(options);
	const fold = createReportFold({memberId: 'c1', silentMs: 5000, epoch: 1});
	renew(fold, {hostId: 'h1', revision: 5, nowMs: 0});
	const hanging = takeFold(fold, 0)!;
	restartFold(fold);
	renew(fold, {
		hostId: 'h1', revision: 0, session: 2, nowMs: 1000,
	});
	send(presence, fold, 1000);
	t.notOk(hearFold(presence, hanging, 1100), 'with everything, of an earlier epoch');
	t.notOk(hearFold(presence, {...hanging, sequence: 1, hosts: []}, 1100), 'with a difference, of an earlier epoch');
	t.match(inForceOf(presence, 5, 1100), {hosts: 1, inForce: 0, missing: ['h1']});
});

const seed = 77_003;

type Step = readonly [kind: 'watch' | 'send' | 'lose' | 'late' | 'restart' | 'pass', at: number, host: number];

// Hosts wander, messages to the leader are lost, control hosts fall silent. What
// an operator would see if the sums went wrong: "in force on all" while a host
// serves the old state. At each step no host that may
// serve counts as further than it is, and none whose lease may last is called out
// of service; when all is quiet again, everything is known.
t.test(`whatever is lost on the way, the leader never counts too much (seed ${seed})`, async t => {
	const kind = fc.constantFrom('watch', 'watch', 'watch', 'send', 'send', 'lose', 'late', 'restart', 'pass');
	const step = fc.tuple(kind, fc.nat(2), fc.nat(4)) as fc.Arbitrary<Step>;
	fc.assert(fc.property(fc.array(step, {maxLength: 150}), steps => {
		const presence = createPresence(options);
		const folds = ['c0', 'c1', 'c2'].map(memberId => createReportFold({memberId, silentMs: 5000, epoch: 1}));
		const hosts = Array.from({length: 5}, () => ({
			revision: 0, floor: 0, session: 0, at: -1, leaseUntilMs: 0,
		}));
		const wordUntilMs = [0, 0, 0];
		let nowMs = 1;
		const watch = (at: number, host: typeof hosts[number], hostId: string): void => {
			if (host.at !== at) {
				host.at = at;
				host.session++;
			}

			renew(folds[at]!, {
				hostId, revision: host.revision, session: host.session, nowMs,
			});
			if (nowMs < wordUntilMs[at]!) {
				// A host that restarted is given at least what it served before: configuration-schedules.test.ts.
				host.revision = Math.max(host.revision, host.floor) + 1;
				host.leaseUntilMs = nowMs + options.hostLeaseMs;
			}
		};

		const deliver = (at: number): void => {
			const message = takeFold(folds[at]!, nowMs);
			if (message !== null && hearFold(presence, message, nowMs)) {
				wordUntilMs[at] = nowMs + options.memberLeaseMs;
			} else if (message !== null) {
				restartFold(folds[at]!);
			}
		};

		const lost: Fold[] = [];
		const run = ([kind, at, number]: Step): void => {
			match(kind)
				.with('watch', () => {
					watch(at, hosts[number]!, `h${number}`);
				})
				.with('send', () => {
					deliver(at);
				})
				.with('lose', () => {
					const message = takeFold(folds[at]!, nowMs);
					if (message !== null) {
						lost.push(message);
						restartFold(folds[at]!);
					}
				})
				.with('late', () => {
					const [late] = lost.splice(0, 1);
					if (late !== undefined) {
						hearFold(presence, late, nowMs);
					}
				})
				.with('restart', () => {
					const host = hosts[number]!;
					Object.assign(host, {
						revision: 0, floor: Math.max(host.revision, host.floor), at: -1, leaseUntilMs: 0,
					});
				})
				.with('pass', () => {
					nowMs += 700 * (number + 1);
				})
				.exhaustive();
		};

		for (const step of steps) {
			run(step);
			noteSilentMembers(presence, nowMs);
			for (const [position, host] of hosts.entries()) {
				if (host.leaseUntilMs > nowMs && confirmedRevision(presence, `h${position}`) > host.revision) {
					throw new Error(`h${position} counts as at ${confirmedRevision(presence, `h${position}`)}, it is at ${host.revision}`);
				}

				if (isOutOfService(presence, `h${position}`, nowMs) && host.leaseUntilMs > nowMs) {
					throw new Error(`h${position} has a lease and counts as out of service`);
				}
			}
		}

		for (let round = 0; round < 3; round++) {
			nowMs += 1000;
			for (const [position, host] of hosts.entries()) {
				watch(position % 3, host, `h${position}`);
			}

			for (const at of [0, 1, 2]) {
				deliver(at);
			}
		}

		if (presence.silent.size > 0 || presence.hosts.size !== 5) {
			throw new Error(`${[...presence.silent.keys()].join(', ')} count as silent when all is quiet`);
		}
	}), {seed, numRuns: 1500});
	t.pass('1500 schedules');
});

const catalogOf = (reports: readonly HostReport[]): Catalog => {
	const catalog = createCatalog();
	for (const {announcement} of reports) {
		applyChange(catalog, {type: 'hostJoined', announcement: announcement!}, catalog.revision + 1);
	}

	return catalog;
};

const applyAll = (catalog: Catalog, changes: readonly CatalogChange[]): void => {
	for (const change of changes) {
		applyChange(catalog, change, catalog.revision + 1);
	}
};

// A zone of 100 out of 300 hosts is cut off and comes back after two minutes.
// Taking all of them out at once would send their weights across the cut in its
// first minute. At most 2 in 100 hosts a minute leave, and whoever returns before
// its turn was never out.
t.test('a zone that is cut off does not empty the configuration', async t => {
	const reports = Array.from({length: 300}, (_, index) => agentReport(`h${index}`, `z${index % 3}`));
	const catalog = catalogOf(reports);
	const presence = createPresence(options);
	const budget = createLossBudget();
	resetPresence(presence, reports.filter((_, index) => index % 3 === 0).map(({hostId}) => hostId), 0);
	const planAt = (nowMs: number) => planMembership({
		catalog, presence, budget, nowMs, hostLossMs: 10_000,
	}) as CatalogChange[];

	t.equal(planAt(10_000).length, 0, 'nobody before the bound');
	let left = 0;
	for (let nowMs = 31_000; nowMs < 151_000; nowMs += 1000) {
		const changes = planAt(nowMs);
		left += changes.length;
		applyAll(catalog, changes);
		for (const change of changes) {
			presence.silent.delete((change as {hostId: string}).hostId);
		}
	}

	t.ok(left >= 6 && left <= 18, `${left} of 100 left in two minutes`);
	t.equal(Object.keys(catalog.hosts).length, 300 - left);
});

// An agent cannot reach control; entries still get answers from it. Then it is
// gone for entries too. One side's view alone must last three times as long.
t.test('silence at control and failures at an entry together lose a host, one alone later or not at all', async t => {
	const catalog = catalogOf([agentReport('h1'), agentReport('h2')]);
	const presence = createPresence(options);
	const fold = createReportFold({memberId: 'c1', silentMs: 5000, epoch: 1});
	const plan = (nowMs: number) => planMembership({
		catalog, presence, budget: createLossBudget(), nowMs, hostLossMs: 10_000,
	}).map(change => change.type);

	resetPresence(presence, ['h1'], 0);
	hearWatch(fold, {
		hostId: 'h2', session: 1, revision: 1, report: agentReport('h2'),
	}, 0);
	send(presence, fold, 0);
	t.same(plan(11_000), [], 'silence alone');
	hearWatch(fold, {
		hostId: 'e1', session: 1, revision: 1, report: entryReport('e1', 1, ['h1', 'h2']),
	}, 11_000);
	send(presence, fold, 1000);
	t.same(plan(11_000), ['hostLeft'], 'silence and failures; not h2, which control hears');
	presence.hosts.delete('e1');
	t.same(plan(30_001), ['hostLeft'], 'long silence alone');
});
