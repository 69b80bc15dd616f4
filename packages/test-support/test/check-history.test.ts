import t from 'tap';
import {
	checkHistory, type CallOutcome, type HistoryEvent, type HistoryRecord,
} from '@bitternpaddle/test-support';

const digest = `sha256:${'a'.repeat(64)}`;
const otherDigest = `sha256:${'b'.repeat(64)}`;

/** Creates events from records; each is a millisecond after the previous one unless it has its own time. */
const historyOf = (...records: Array<HistoryRecord & {readonly atMs?: number}>): HistoryEvent[] => records.map((entry, index) => ({...entry, atMs: entry.atMs ?? index}));

const published: HistoryRecord = {type: 'versionPublished', versionId: 'desk:v1', digest};
const started: HistoryRecord = {
	type: 'callStarted', callId: 'c1', entryId: 'e1', echo: 'echo c1', key: null,
};
const run: HistoryRecord = {
	type: 'runStarted', hostId: 'h1', requestId: 'r1', echo: 'echo c1', key: null, digest,
};
const complete: CallOutcome = {
	type: 'answered', requestId: 'r1', versionId: 'desk:v1', isComplete: true, echo: 'echo c1', digests: [digest, digest],
};
const ended = (outcome: CallOutcome): HistoryRecord => ({type: 'callEnded', callId: 'c1', outcome});
const booked: HistoryRecord = {...started, echo: 'k1', key: 'k1'};
const bookingRun = (requestId: string): HistoryRecord => ({
	type: 'runStarted', hostId: 'h9', requestId, echo: 'k1', key: 'k1', digest: null,
});
const sample = (revision: number, atMs?: number, overrides: Partial<Extract<HistoryRecord, {type: 'hostSampled'}>> = {}) => ({
	type: 'hostSampled' as const, hostId: 'h1', revision, digest: `d${revision}`, isInService: true, ...overrides, ...(atMs === undefined ? {} : {atMs}),
});
const command = (commandId: string, revision: number | null, ifRevision: number | null = null): HistoryRecord => ({
	type: 'commandEnded', commandId, line: 'create model a', ifRevision, outcome: revision === null ? {type: 'refused', message: 'exists'} : {type: 'accepted', revision},
});
const drain: HistoryRecord = {type: 'leaveStarted', nodeId: 'h1', cause: 'drain'};
const fault: HistoryRecord = {
	type: 'faultStarted', faultId: 'f1', kind: 'agentKill', nodeIds: ['h1'],
};

const correctHistories: Record<string, HistoryEvent[]> = {
	'an answer': historyOf(published, started, run, ended(complete)),
	'a booking with a caller retry': historyOf(booked, {...booked, callId: 'c2'}, bookingRun('r1'), ended({
		...complete, versionId: null, echo: 'k1', digests: [],
	}), {type: 'callEnded', callId: 'c2', outcome: {type: 'notRun', requestId: 'r2'}}),
	'a refusal': historyOf(published, started, ended({type: 'notRun', requestId: 'r1'})),
	'work shortly after a drain': historyOf(published, started, drain, run, ended(complete)),
	'work after the drain was undone': historyOf(published, drain, {type: 'leaveEnded', nodeId: 'h1', atMs: 9000}, {...started, atMs: 9001}, {...run, atMs: 9002}, {...ended(complete), atMs: 9003}),
	'a cut by a kill during a drain': historyOf(started, run, drain, fault, ended({type: 'cut'})),
	'a host out of service that lags': historyOf(command('o1', 5), sample(5), sample(3, 20_000, {hostId: 'h2', isInService: false})),
	'a host that restarts without a configuration': historyOf(sample(5), sample(0, undefined, {isInService: false}), sample(6)),
	'a resend and a lost race': historyOf(command('o1', 5, 4), command('o1', 5, 4), command('o2', null, 4)),
};

for (const [name, events] of Object.entries(correctHistories)) {
	t.test(`a correct history passes: ${name}`, async t => {
		t.same(checkHistory(events), []);
	});
}

// Each history violates one invariant. The checker must report the type of that
// violation and no other; otherwise a violation in a real run could be missed or be
// taken for another.
const violatingHistories: Record<string, HistoryEvent[]> = {
	ranMoreThanOnce: historyOf(booked, bookingRun('r1'), bookingRun('r2'), ended({type: 'mayHaveRun', requestId: 'r1'})),
	ranAfterNotRun: historyOf(started, ended({type: 'notRun', requestId: 'r1'}), {...run, atMs: 500}),
	notWhole: historyOf(published, started, run, ended({...complete, isComplete: false})),
	foreignAnswer: historyOf(published, started, run, ended({...complete, echo: 'echo c7'})),
	mixedWeights: historyOf(published, started, run, ended({...complete, digests: [digest, otherDigest]})),
	noAnswer: historyOf(started, run, ended({type: 'noAnswer'})),
	workAfterLeaving: historyOf(drain, {...run, atMs: 3001}),
	cutByPlannedStop: historyOf(started, run, {...drain, cause: 'stop'}, ended({type: 'cut'})),
	revisionWentBack: historyOf(sample(5), sample(0, undefined, {isInService: false}), sample(4)),
	revisionsDiffer: historyOf(sample(5), sample(5, undefined, {hostId: 'h2', digest: 'other'})),
	notInForce: historyOf(command('o1', 5), sample(4, 10_001)),
	resendChangedResult: historyOf(command('o1', 5), command('o1', 6)),
	racersBothAccepted: historyOf(command('o1', 5, 4), command('o2', 6, 4)),
};

for (const [type, events] of Object.entries(violatingHistories)) {
	t.test(`a violation is reported: ${type}`, async t => {
		t.same(checkHistory(events).map(violation => violation.type), [type]);
	});
}

// Further violations of the same invariants, which a narrower check would miss.
t.test('a refusal without a request id although the key ran', async t => {
	const events = historyOf(booked, bookingRun('r5'), ended({type: 'notRun', requestId: null}));
	t.match(checkHistory(events), [{type: 'ranAfterNotRun'}]);
});

t.test('a refused key whose own request id ran', async t => {
	const events = historyOf(booked, ended({type: 'notRun', requestId: 'r1'}), bookingRun('r1'));
	t.match(checkHistory(events), [{type: 'ranAfterNotRun'}]);
});

t.test('tokens tagged with the right digest from an engine that held other weights', async t => {
	const events = historyOf(published, started, {...run, digest: otherDigest}, ended(complete));
	t.match(checkHistory(events), [{type: 'mixedWeights'}]);
});

t.test('a complete answer without a run', async t => {
	t.match(checkHistory(historyOf(published, started, ended(complete))), [{type: 'mixedWeights'}]);
});

t.test('a fault on another node does not excuse a broken connection', async t => {
	const events = historyOf(started, run, {...drain, cause: 'stop'}, {...fault, nodeIds: ['h2']}, ended({type: 'cut'}));
	t.match(checkHistory(events), [{type: 'cutByPlannedStop'}]);
});

t.test('a resend that is refused after it was accepted', async t => {
	t.match(checkHistory(historyOf(command('o1', 5), command('o1', null))), [{type: 'resendChangedResult'}]);
});
