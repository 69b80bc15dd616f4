import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil} from '@bitternpaddle/daemon';
import {rpcErrorCodes, type ProposeResult, type QueryResult} from '@bitternpaddle/protocol';
import {commandId, modelId} from '@bitternpaddle/state';
import {checkHistory, eventsOf, type CallOutcome} from '@bitternpaddle/test-support';
import {callRpc} from '@bitternpaddle/transport';
import t from 'tap';
import {createProcessCluster, patientMs, type ProcessCluster} from './support/process-cluster.js';

const runsOf = ({history}: ProcessCluster, key: string): number => eventsOf(history.events, 'runStarted').filter(run => run.key === key).length;

const bookUntilFinal = async (cluster: ProcessCluster, key: string): Promise<CallOutcome> => {
	let outcome: CallOutcome = {type: 'cut'};
	let resends = 0;
	await waitUntil(`a final outcome of ${key}`, async () => {
		outcome = await cluster.book(`${key}-resend-${resends++}`, {entry: 1, key});
		return outcome.type === 'answered' || outcome.type === 'mayHaveRun';
	}, {timeoutMs: patientMs});
	return outcome;
};

type Reply<Result> = {readonly type: 'result'; readonly result: Result} | {readonly type: 'error'; readonly code: number | undefined};

const askDirectly = async <Result>(address: string, method: string, parameters: Record<string, unknown>): Promise<Reply<Result>> => callRpc<Result>({
	address, method, params: parameters, timeoutMs: patientMs, agent: false,
}).then(result => ({type: 'result', result} as const), (error: unknown) => ({type: 'error', code: (error as {code?: number}).code} as const));

// The leading control host is frozen, and others are elected. Questions and an
// order wait in its sockets and are the first that it reads on waking, while it
// still believes that it leads. It must answer none of them as leader: by its
// clock its lease is over. What was accepted meanwhile stays, its own order is
// nowhere, and it follows the next leader. Hosts that watched it go on.
t.test('a leader that was frozen wakes', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2});
	await cluster.load();
	const frozen = await cluster.leader();
	const {term} = (await cluster.readiness(frozen))!;
	await cluster.order('create model before-freeze');
	frozen.signal('SIGSTOP');
	const change = {type: 'createModel', modelId: modelId('ghost')} as const;
	const waiting = [
		...Array.from({length: 3}, async () => askDirectly<QueryResult>(frozen.address, 'control.query', {show: {type: 'show', subject: 'models', where: []}, isForwarded: true})),
		askDirectly<ProposeResult>(frozen.address, 'control.propose', {command: {commandId: commandId('ghost'), ifRevision: null, change}, isForwarded: true}),
	];
	const revision = await cluster.order('create model after-freeze');
	t.not((await cluster.leader()).hostId, frozen.hostId);
	frozen.signal('SIGCONT');
	t.strictSame(await Promise.all(waiting), waiting.map(() => ({type: 'error', code: rpcErrorCodes.notLeader})), 'it answers nothing as leader');
	await waitUntil('it serves again', async () => {
		const state = await cluster.readiness(frozen);
		return state !== null && state.isReady && state.revision >= revision;
	}, {timeoutMs: patientMs});
	t.ok((await cluster.readiness(frozen))!.term > term);
	const models = (await cluster.rows('show models')).map(({model}) => model);
	t.same(models.map(String).toSorted((a, b) => a.localeCompare(b)), ['after-freeze', 'before-freeze', 'pitch-desk'], 'what was accepted is there, the order to the frozen host is not');
	await waitUntil('in force on every host', async () => (await cluster.rows('show revision'))[0]?.missing === '', {timeoutMs: patientMs});
	t.match(await Promise.all([0, 1].map(async entry => cluster.stream(`after-${entry}`, {entry, maxTokens: 3}))), [{type: 'answered', isComplete: true}, {type: 'answered', isComplete: true}]);
	t.same(checkHistory(cluster.history.events), []);
});

// Agents are frozen in the middle of a booking and of streams, and another
// booking is sent to the frozen one. Their entries find the connections silent,
// ask on new ones and get nothing: no caller may be told "not run". On waking
// the agents find all that was sent to them, hours late for all they know. Each
// booking has run at most once, and a resend gets its outcome.
t.test('agents that were frozen with requests under way wake', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2, ledgers: 1, tokenMs: 20});
	await cluster.load();
	const {relay, agent: ledgerAgent} = cluster.ledgers[0]!;
	relay.setModes({forward: 'open', backward: 'held'});
	const running = cluster.book('running', {entry: 0, key: 'running'});
	const streams = Promise.all(Array.from({length: 8}, async (_, index) => cluster.stream(`stream-${index}`, {entry: index % 2, maxTokens: 60})));
	await waitUntil('all of them run', () => eventsOf(cluster.history.events, 'runStarted').length === 9, {timeoutMs: patientMs});
	const frozen = [ledgerAgent, cluster.engines[0]!.agent];
	for (const daemon of frozen) {
		daemon.signal('SIGSTOP');
	}

	const late = [0, 1].map(async entry => cluster.book(`late-${entry}`, {entry, key: `late-${entry}`}));
	const told = await Promise.all([running, ...late]);
	t.match(told[0], {type: 'mayHaveRun'}, 'the running one');
	t.comment(`the others were told ${told.slice(1).map(({type}) => type).join(', ')}`);
	relay.setModes({forward: 'open', backward: 'open'});
	for (const daemon of frozen) {
		daemon.signal('SIGCONT');
	}

	for (const key of ['running', 'late-0', 'late-1']) {
		const outcome = await bookUntilFinal(cluster, key);
		t.equal(outcome.type === 'answered' ? runsOf(cluster, key) : 1, 1, `${key}: ${outcome.type}`);
		t.ok(runsOf(cluster, key) <= 1);
	}

	const ends = await streams;
	t.ok(ends.every(({type}) => type !== 'noAnswer'), 'every stream has an end');
	t.ok(ends.some(outcome => outcome.type === 'answered' && outcome.isComplete), 'those on the other agent are whole');
	t.same(checkHistory(cluster.history.events), [], 'no end is a lie');
});

/** Longer than an entry's lease: it must not act on its old configuration when it wakes. */
const longFreezeMs = 3500;

// An entry is frozen with a booking under way, and another booking arrives in
// its socket meanwhile. The callers resend through the other entry and get both
// booked. Then the first entry wakes, finishes the one and reads the other: it
// gives the outcome that stands, or says that it did not run; it runs neither.
t.test('an entry that was frozen with bookings under way wakes', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {ledgers: 1});
	const {relay} = cluster.ledgers[0]!;
	relay.setModes({forward: 'open', backward: 'held'});
	const running = cluster.book('running', {entry: 0, key: 'running'});
	await waitUntil('the booking runs', () => runsOf(cluster, 'running') === 1, {timeoutMs: patientMs});
	cluster.entries[0]!.signal('SIGSTOP');
	const late = cluster.book('late', {entry: 0, key: 'late'});
	t.match(await cluster.book('early', {entry: 1, key: 'running'}), {type: 'refused', status: 409}, 'in progress');
	relay.setModes({forward: 'open', backward: 'open'});
	const runningOutcome = await bookUntilFinal(cluster, 'running');
	t.match(await bookUntilFinal(cluster, 'late'), {type: 'answered', isComplete: true}, 'booked through the other entry');
	await delay(longFreezeMs);
	cluster.entries[0]!.signal('SIGCONT');
	const [runningEnd, lateEnd] = await Promise.all([running, late]);
	t.comment(`running: ${runningOutcome.type}, then ${runningEnd.type}; late: ${lateEnd.type}`);
	t.ok(['answered', 'mayHaveRun'].includes(runningEnd.type));
	t.ok(['answered', 'notRun'].includes(lateEnd.type));
	t.same(['running', 'late'].map(key => runsOf(cluster, key)), [1, 1]);
	t.same(checkHistory(cluster.history.events), []);
});
