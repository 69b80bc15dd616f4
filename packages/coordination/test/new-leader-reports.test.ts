import type {HostReport} from '@bitternpaddle/protocol';
import t from 'tap';
import {
	createPresence, createReportAggregator, recordAggregate, recordWatch, resetPresence, restartAggregatorForLeader, takeAggregate, type ReportAggregator,
} from '@bitternpaddle/coordination';

const silentMs = 2500;

const aggregatorOf = (memberId: string): ReportAggregator => createReportAggregator({memberId, silentMs, epoch: 1});

const reportOf = (readyVersionId: string | null): HostReport => ({
	hostId: 'h1', role: 'agent', address: '127.0.0.1:1', revision: 5, requestsInFlight: 0, announcement: null,
	readyVersionId: readyVersionId as HostReport['readyVersionId'], isLeaving: false, transfers: [],
});

const watch = (aggregator: ReportAggregator, session: number, report: HostReport | null, nowMs: number): boolean => recordWatch(aggregator, {
	hostId: 'h1', session, revision: 5, report,
}, nowMs);

// A host reports to one control host that it is not ready, moves to another and
// reports there that it is ready. Then the first control host becomes the leader,
// without knowledge of any host. If it used its own outdated report, callers
// would be refused with "no endpoint is ready" although the host serves.
t.test('does not send a new leader a report that the host has replaced at another control host', async t => {
	const [first, second] = [aggregatorOf('c1'), aggregatorOf('c2')];
	watch(first, 1, reportOf(null), 1000);
	watch(second, 2, reportOf('pitch-desk:v1'), 1500);
	const presence = createPresence({hostLeaseMs: silentMs, memberLeaseMs: silentMs});
	resetPresence(presence, ['h1'], 2000);
	restartAggregatorForLeader(first);
	restartAggregatorForLeader(second);
	t.ok(recordAggregate(presence, takeAggregate(first, 2000)!, 2000));
	t.equal(presence.hosts.get('h1'), undefined, 'the host is silent until it calls again');
	t.ok(watch(second, 2, null, 2100), 'the next call carries no report');
	t.ok(recordAggregate(presence, takeAggregate(second, 2100)!, 2100));
	t.match(presence.hosts.get('h1'), {memberId: 'c2', report: {readyVersionId: 'pitch-desk:v1'}});
	t.notOk(presence.silent.has('h1'));
	const laterMessage = takeAggregate(first, 2300)!;
	t.same(laterMessage.hosts, [], 'the outdated report is never sent');
});

// A host that stays at its control host is reported to the next leader on its
// next call, whether that call carries its report or not.
t.test('reports a host that stays to a new leader on its next call', async t => {
	for (const report of [null, reportOf('pitch-desk:v1')]) {
		const aggregator = aggregatorOf('c1');
		watch(aggregator, 1, reportOf('pitch-desk:v1'), 1000);
		t.equal(takeAggregate(aggregator, 1000)!.hosts.length, 1);
		restartAggregatorForLeader(aggregator);
		t.same(takeAggregate(aggregator, 1300)!.hosts, []);
		watch(aggregator, 1, report, 1400);
		t.match(takeAggregate(aggregator, 1400)!.hosts, [{session: 1, report: {hostId: 'h1'}}]);
		t.same(takeAggregate(aggregator, 1700)!.hosts, [], 'reported only once');
	}
});
