import fc from 'fast-check';
import t from 'tap';
import {match} from 'ts-pattern';
import {hostReportSchema, type ReportAggregate, type HostReport} from '@bitternpaddle/protocol';
import {
	applyChange, createCatalog, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';
import {
	confirmedRevision, createLossBudget, createPresence, createReportAggregator, recordAggregate, recordWatch, inForceOf, isOutOfService, markSilentMembers, planMembership,
	resetPresence, restartAggregator, takeAggregate, type Presence, type ReportAggregator,
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

const renew = (aggregator: ReportAggregator, {hostId, revision, session = 1, nowMs}: {hostId: string; revision: number; session?: number; nowMs: number}): void => {
	if (!recordWatch(aggregator, {
		hostId, session, revision, report: null,
	}, nowMs)) {
		recordWatch(aggregator, {
			hostId, session, revision, report: entryReport(hostId, revision),
		}, nowMs);
	}
};

const send = (presence: Presence, aggregator: ReportAggregator, nowMs: number): number => {
	const message = takeAggregate(aggregator, nowMs);
	if (message === null) {
		return 0;
	}

	if (!recordAggregate(presence, message, nowMs)) {
		restartAggregator(aggregator);
	}

	return JSON.stringify(message).length;
};

// 17 control hosts serve 12,330 hosts, each of which renews its lease every
// second. Reporting each renewal would saturate the leader. A control host whose
// hosts are unchanged sends one message, as small as for a single host.
t.test('sends the leader a message of constant size while no host changes', async t => {
	const messageSizes = [1, 725].map(hosts => {
		const presence = createPresence(options);
		const aggregator = createReportAggregator({memberId: 'c1', silentMs: 5000, epoch: 1});
		let idleBytes = 0;
		for (let second = 0; second < 4; second++) {
			for (let host = 0; host < hosts; host++) {
				renew(aggregator, {hostId: `h${host}`, revision: 7, nowMs: second * 1000});
			}

			idleBytes = send(presence, aggregator, second * 1000);
		}

		t.match(inForceOf(presence, 7, 3000), {hosts, inForce: hosts});
		return idleBytes;
	});
	t.equal(messageSizes[0], messageSizes[1]);
	t.ok(messageSizes[1]! < 150, `${messageSizes[1]} bytes`);
});

// A host moves from one control host to another, and the old one then reports it
// as silent. If the leader accepted that report, a live host would be lost.
t.test('ignores a silence report from the control host that a host has left', async t => {
	const presence = createPresence(options);
	const [before, after] = ['c1', 'c2'].map(memberId => createReportAggregator({memberId, silentMs: 5000, epoch: 1})) as [ReportAggregator, ReportAggregator];
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

// The control host of a host is partitioned from the leader. The host may serve
// until its lease expires, so it counts as missing; once its lease has certainly
// expired, it counts neither as in force nor as missing.
t.test('counts a partitioned host as missing at first and as out of service once its lease expired', async t => {
	const presence = createPresence(options);
	const aggregator = createReportAggregator({memberId: 'c1', silentMs: 5000, epoch: 1});
	renew(aggregator, {hostId: 'h1', revision: 5, nowMs: 0});
	send(presence, aggregator, 0);
	t.match(inForceOf(presence, 5, 10), {hosts: 1, inForce: 1});
	t.match(inForceOf(presence, 6, 10), {hosts: 1, inForce: 0, missing: ['h1']});
	markSilentMembers(presence, 3001);
	t.match(inForceOf(presence, 5, 3001), {hosts: 1, inForce: 0, missing: ['h1']});
	t.match(inForceOf(presence, 5, 7999), {hosts: 1, inForce: 0, missing: ['h1']});
	t.match(inForceOf(presence, 6, 8001), {
		hosts: 0, inForce: 0, missing: [], outOfService: ['h1'],
	});
});

// One host confirms a revision later than the others. It is listed as missing
// until it confirms; nothing more is sent for the other hosts.
t.test('lists a host that is behind until it confirms the revision', async t => {
	const presence = createPresence(options);
	const aggregator = createReportAggregator({memberId: 'c1', silentMs: 5000, epoch: 1});
	for (const [hostId, revision] of [['h1', 5], ['h2', 5], ['h3', 5]] as const) {
		renew(aggregator, {hostId, revision, nowMs: 0});
	}

	send(presence, aggregator, 0);
	renew(aggregator, {hostId: 'h1', revision: 6, nowMs: 1000});
	renew(aggregator, {hostId: 'h3', revision: 6, nowMs: 1000});
	send(presence, aggregator, 1000);
	t.match(inForceOf(presence, 6, 1000), {hosts: 3, inForce: 2, missing: ['h2']});
	renew(aggregator, {hostId: 'h2', revision: 6, nowMs: 2000});
	send(presence, aggregator, 2000);
	t.match(inForceOf(presence, 6, 2000), {hosts: 3, inForce: 3, missing: []});
});

// A message to the leader is delayed in a stalled connection. Its sender abandons
// it and sends a full report, since the host has restarted and has no copy. Then
// the old message arrives. If accepted, it would count the host as in force.
t.test('rejects an abandoned message that arrives late', async t => {
	const presence = createPresence(options);
	const aggregator = createReportAggregator({memberId: 'c1', silentMs: 5000, epoch: 1});
	renew(aggregator, {hostId: 'h1', revision: 5, nowMs: 0});
	const abandoned = takeAggregate(aggregator, 0)!;
	restartAggregator(aggregator);
	renew(aggregator, {
		hostId: 'h1', revision: 0, session: 2, nowMs: 1000,
	});
	send(presence, aggregator, 1000);
	t.notOk(recordAggregate(presence, abandoned, 1100), 'full report of an earlier epoch');
	t.notOk(recordAggregate(presence, {...abandoned, sequence: 1, hosts: []}, 1100), 'incremental report of an earlier epoch');
	t.match(inForceOf(presence, 5, 1100), {hosts: 1, inForce: 0, missing: ['h1']});
});

const seed = 77_003;

type Step = readonly [kind: 'watch' | 'send' | 'lose' | 'late' | 'restart' | 'pass', at: number, host: number];

// Hosts move between control hosts, messages to the leader are lost and control
// hosts become silent. If the leader miscounted, an operator would see "in force
// on all" while a host serves the old configuration. At each step, no host that
// may serve counts at a later revision than it has, and no host whose lease may
// be valid counts as out of service. Without further faults, all hosts are known.
t.test(`never overestimates confirmed revisions under lost and late messages (seed ${seed})`, async t => {
	const kind = fc.constantFrom('watch', 'watch', 'watch', 'send', 'send', 'lose', 'late', 'restart', 'pass');
	const step = fc.tuple(kind, fc.nat(2), fc.nat(4)) as fc.Arbitrary<Step>;
	fc.assert(fc.property(fc.array(step, {maxLength: 150}), steps => {
		const presence = createPresence(options);
		const aggregators = ['c0', 'c1', 'c2'].map(memberId => createReportAggregator({memberId, silentMs: 5000, epoch: 1}));
		const hosts = Array.from({length: 5}, () => ({
			revision: 0, servedRevision: 0, session: 0, at: -1, leaseUntilMs: 0,
		}));
		const memberLeaseUntilMs = [0, 0, 0];
		let nowMs = 1;
		const watch = (at: number, host: typeof hosts[number], hostId: string): void => {
			if (host.at !== at) {
				host.at = at;
				host.session++;
			}

			renew(aggregators[at]!, {
				hostId, revision: host.revision, session: host.session, nowMs,
			});
			if (nowMs < memberLeaseUntilMs[at]!) {
				// A restarted host receives at least the revision it served before; configuration-schedules.test.ts verifies that.
				host.revision = Math.max(host.revision, host.servedRevision) + 1;
				host.leaseUntilMs = nowMs + options.hostLeaseMs;
			}
		};

		const deliver = (at: number): void => {
			const message = takeAggregate(aggregators[at]!, nowMs);
			if (message !== null && recordAggregate(presence, message, nowMs)) {
				memberLeaseUntilMs[at] = nowMs + options.memberLeaseMs;
			} else if (message !== null) {
				restartAggregator(aggregators[at]!);
			}
		};

		const lost: ReportAggregate[] = [];
		const run = ([kind, at, hostIndex]: Step): void => {
			match(kind)
				.with('watch', () => {
					watch(at, hosts[hostIndex]!, `h${hostIndex}`);
				})
				.with('send', () => {
					deliver(at);
				})
				.with('lose', () => {
					const message = takeAggregate(aggregators[at]!, nowMs);
					if (message !== null) {
						lost.push(message);
						restartAggregator(aggregators[at]!);
					}
				})
				.with('late', () => {
					const [late] = lost.splice(0, 1);
					if (late !== undefined) {
						recordAggregate(presence, late, nowMs);
					}
				})
				.with('restart', () => {
					const host = hosts[hostIndex]!;
					Object.assign(host, {
						revision: 0, servedRevision: Math.max(host.revision, host.servedRevision), at: -1, leaseUntilMs: 0,
					});
				})
				.with('pass', () => {
					nowMs += 700 * (hostIndex + 1);
				})
				.exhaustive();
		};

		for (const step of steps) {
			run(step);
			markSilentMembers(presence, nowMs);
			for (const [position, host] of hosts.entries()) {
				if (host.leaseUntilMs > nowMs && confirmedRevision(presence, `h${position}`) > host.revision) {
					throw new Error(`h${position} counts as at revision ${confirmedRevision(presence, `h${position}`)}, but is at ${host.revision}`);
				}

				if (isOutOfService(presence, `h${position}`, nowMs) && host.leaseUntilMs > nowMs) {
					throw new Error(`h${position} has a lease but counts as out of service`);
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
			throw new Error(`${[...presence.silent.keys()].join(', ')} count as silent although no fault remains`);
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

// A zone of 100 out of 300 hosts is partitioned for two minutes. Removing all of
// them at once would transfer their weights elsewhere in the first minute. At
// most 2 in 100 hosts are removed per minute, and a host that returns before its
// turn is not removed.
t.test('removes the hosts of a partitioned zone at a limited rate', async t => {
	const reports = Array.from({length: 300}, (_, index) => agentReport(`h${index}`, `z${index % 3}`));
	const catalog = catalogOf(reports);
	const presence = createPresence(options);
	const budget = createLossBudget();
	resetPresence(presence, reports.filter((_, index) => index % 3 === 0).map(({hostId}) => hostId), 0);
	const planMembershipAt = (nowMs: number) => planMembership({
		catalog, presence, budget, nowMs, hostLossMs: 10_000,
	}) as CatalogChange[];

	t.equal(planMembershipAt(10_000).length, 0, 'no host is removed before the time limit');
	let leftCount = 0;
	for (let nowMs = 31_000; nowMs < 151_000; nowMs += 1000) {
		const changes = planMembershipAt(nowMs);
		leftCount += changes.length;
		applyAll(catalog, changes);
		for (const change of changes) {
			presence.silent.delete((change as {hostId: string}).hostId);
		}
	}

	t.ok(leftCount >= 6 && leftCount <= 18, `${leftCount} of 100 left in two minutes`);
	t.equal(Object.keys(catalog.hosts).length, 300 - leftCount);
});

// An agent cannot reach the control plane, but entries still get responses from
// it. Then entries cannot reach it either. Silence alone must last three times as
// long before the host is removed; failures at an entry alone never remove it.
t.test('removes a host sooner if it is silent and unreachable for an entry than if it is only silent', async t => {
	const catalog = catalogOf([agentReport('h1'), agentReport('h2')]);
	const presence = createPresence(options);
	const aggregator = createReportAggregator({memberId: 'c1', silentMs: 5000, epoch: 1});
	const plannedTypes = (nowMs: number) => planMembership({
		catalog, presence, budget: createLossBudget(), nowMs, hostLossMs: 10_000,
	}).map(change => change.type);

	resetPresence(presence, ['h1'], 0);
	recordWatch(aggregator, {
		hostId: 'h2', session: 1, revision: 1, report: agentReport('h2'),
	}, 0);
	send(presence, aggregator, 0);
	t.same(plannedTypes(11_000), [], 'silence alone');
	recordWatch(aggregator, {
		hostId: 'e1', session: 1, revision: 1, report: entryReport('e1', 1, ['h1', 'h2']),
	}, 11_000);
	send(presence, aggregator, 1000);
	t.same(plannedTypes(11_000), ['hostLeft'], 'silence and failures; not h2, which is not silent');
	presence.hosts.delete('e1');
	t.same(plannedTypes(30_001), ['hostLeft'], 'long silence alone');
});
