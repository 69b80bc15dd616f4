import type {HostReport} from '@bitternpaddle/protocol';
import t from 'tap';
import {
	createPresence, createReportFold, hearFold, hearWatch, resetPresence, startFoldForLeader, takeFold, type ReportFold,
} from '@bitternpaddle/coordination';

const silentMs = 2500;

const foldOf = (memberId: string): ReportFold => createReportFold({memberId, silentMs, epoch: 1});

const reportOf = (readyVersionId: string | null): HostReport => ({
	hostId: 'h1', role: 'agent', address: '127.0.0.1:1', revision: 5, requestsInFlight: 0, announcement: null,
	readyVersionId: readyVersionId as HostReport['readyVersionId'], isLeaving: false, transfers: [],
});

const watch = (fold: ReportFold, session: number, report: HostReport | null, nowMs: number): boolean => hearWatch(fold, {
	hostId: 'h1', session, revision: 5, report,
}, nowMs);

// A host tells one control host that it is not ready yet, turns to another a
// moment later and is ready there. Then the first control host becomes the
// leader, and knows nobody. If it took its own old report, callers would be
// refused for "no endpoint is ready" although the host serves.
t.test('a new leader hears no report that the host has replaced elsewhere', async t => {
	const [first, second] = [foldOf('c1'), foldOf('c2')];
	watch(first, 1, reportOf(null), 1000);
	watch(second, 2, reportOf('pitch-desk:v1'), 1500);
	const presence = createPresence({hostLeaseMs: silentMs, memberLeaseMs: silentMs});
	resetPresence(presence, ['h1'], 2000);
	startFoldForLeader(first);
	startFoldForLeader(second);
	t.ok(hearFold(presence, takeFold(first, 2000)!, 2000));
	t.equal(presence.hosts.get('h1'), undefined, 'silent until it calls again');
	t.ok(watch(second, 2, null, 2100), 'its next call, without a report');
	t.ok(hearFold(presence, takeFold(second, 2100)!, 2100));
	t.match(presence.hosts.get('h1'), {memberId: 'c2', report: {readyVersionId: 'pitch-desk:v1'}});
	t.notOk(presence.silent.has('h1'));
	const next = takeFold(first, 2300)!;
	t.same(next.hosts, [], 'the old report is never told');
});

// A host that goes on calling where it watched is told to the next leader with
// its next call, whether that carries its report or not.
t.test('a host that stays is told with its next call', async t => {
	for (const report of [null, reportOf('pitch-desk:v1')]) {
		const fold = foldOf('c1');
		watch(fold, 1, reportOf('pitch-desk:v1'), 1000);
		t.equal(takeFold(fold, 1000)!.hosts.length, 1);
		startFoldForLeader(fold);
		t.same(takeFold(fold, 1300)!.hosts, []);
		watch(fold, 1, report, 1400);
		t.match(takeFold(fold, 1400)!.hosts, [{session: 1, report: {hostId: 'h1'}}]);
		t.same(takeFold(fold, 1700)!.hosts, [], 'once');
	}
});
