import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil} from '@bitternpaddle/daemon';
import {rpcErrorCodes, type ProposeResult, type QueryResult} from '@bitternpaddle/protocol';
import {commandId, modelId} from '@bitternpaddle/state';
import {checkHistory, eventsOf, type CallOutcome} from '@bitternpaddle/test-support';
import {callRpc} from '@bitternpaddle/transport';
import t from 'tap';
import {createProcessCluster, stepTimeoutMs, type ProcessCluster} from './support/process-cluster.js';

const runsOf = ({history}: ProcessCluster, key: string): number => eventsOf(history.events, 'runStarted').filter(run => run.key === key).length;

const bookUntilFinal = async (cluster: ProcessCluster, key: string): Promise<CallOutcome> => {
	let outcome: CallOutcome = {type: 'cut'};
	let retries = 0;
	await waitUntil(`a final outcome of ${key}`, async () => {
		outcome = await cluster.book(`${key}-resend-${retries++}`, {entry: 1, key});
		return outcome.type === 'answered' || outcome.type === 'mayHaveRun';
	}, {timeoutMs: stepTimeoutMs});
	return outcome;
};

type Reply<Result> = {readonly type: 'result'; readonly result: Result} | {readonly type: 'error'; readonly code: number | undefined};

const callDirectly = async <Result>(address: string, method: string, parameters: Record<string, unknown>): Promise<Reply<Result>> => callRpc<Result>({
	address, method, params: parameters, timeoutMs: stepTimeoutMs, agent: false,
}).then(result => ({type: 'result', result} as const), (error: unknown) => ({type: 'error', code: (error as {code?: number}).code} as const));

// The leader of the control hosts is suspended, and another is elected. Queries and
// a command wait in its sockets and are the first that it reads when resumed, while
// it still considers itself the leader. It must answer none of them as leader: by
// its clock its lease has expired. What was accepted meanwhile stays, the command
// sent to it has no effect, and it follows the new leader. Hosts that watched it continue.
t.test('a suspended leader is resumed', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2});
	await cluster.load();
	const suspendedLeader = await cluster.leader();
	const {term} = (await cluster.readiness(suspendedLeader))!;
	await cluster.order('create model before-freeze');
	suspendedLeader.signal('SIGSTOP');
	const change = {type: 'createModel', modelId: modelId('ghost')} as const;
	const waiting = [
		...Array.from({length: 3}, async () => callDirectly<QueryResult>(suspendedLeader.address, 'control.query', {show: {type: 'show', subject: 'models', where: []}, isForwarded: true})),
		callDirectly<ProposeResult>(suspendedLeader.address, 'control.propose', {command: {commandId: commandId('ghost'), ifRevision: null, change}, isForwarded: true}),
	];
	const revision = await cluster.order('create model after-freeze');
	t.not((await cluster.leader()).hostId, suspendedLeader.hostId);
	suspendedLeader.signal('SIGCONT');
	t.strictSame(await Promise.all(waiting), waiting.map(() => ({type: 'error', code: rpcErrorCodes.notLeader})), 'it answers nothing as leader');
	await waitUntil('it is ready again', async () => {
		const state = await cluster.readiness(suspendedLeader);
		return state !== null && state.isReady && state.revision >= revision;
	}, {timeoutMs: stepTimeoutMs});
	t.ok((await cluster.readiness(suspendedLeader))!.term > term);
	const models = (await cluster.rows('show models')).map(({model}) => model);
	t.same(models.map(String).toSorted((a, b) => a.localeCompare(b)), ['after-freeze', 'before-freeze', 'pitch-desk'], 'the accepted changes are in force, the command to the suspended host is not');
	await waitUntil('in force on every host', async () => (await cluster.rows('show revision'))[0]?.missing === '', {timeoutMs: stepTimeoutMs});
	t.match(await Promise.all([0, 1].map(async entry => cluster.stream(`after-${entry}`, {entry, maxTokens: 3}))), [{type: 'answered', isComplete: true}, {type: 'answered', isComplete: true}]);
	t.same(checkHistory(cluster.history.events), []);
});

// Agents are suspended during a booking and streams, and further bookings are sent
// to the suspended one. Their entries find that the connections have stalled, try
// new ones and get no response: no caller may get "not run". When resumed, the agents
// read everything that was sent to them, late by an unknown time. Each booking has run
// at most once, and a caller retry gets its outcome.
t.test('suspended agents are resumed with requests in flight', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2, ledgers: 1, tokenMs: 20});
	await cluster.load();
	const {relay, agent: ledgerAgent} = cluster.ledgers[0]!;
	relay.setModes({forward: 'open', backward: 'held'});
	const running = cluster.book('running', {entry: 0, key: 'running'});
	const streams = Promise.all(Array.from({length: 8}, async (_, index) => cluster.stream(`stream-${index}`, {entry: index % 2, maxTokens: 60})));
	await waitUntil('all of them run', () => eventsOf(cluster.history.events, 'runStarted').length === 9, {timeoutMs: stepTimeoutMs});
	const suspended = [ledgerAgent, cluster.engines[0]!.agent];
	for (const daemon of suspended) {
		daemon.signal('SIGSTOP');
	}

	const late = [0, 1].map(async entry => cluster.book(`late-${entry}`, {entry, key: `late-${entry}`}));
	const outcomes = await Promise.all([running, ...late]);
	t.match(outcomes[0], {type: 'mayHaveRun'}, 'the running one');
	t.comment(`the others got ${outcomes.slice(1).map(({type}) => type).join(', ')}`);
	relay.setModes({forward: 'open', backward: 'open'});
	for (const daemon of suspended) {
		daemon.signal('SIGCONT');
	}

	for (const key of ['running', 'late-0', 'late-1']) {
		const outcome = await bookUntilFinal(cluster, key);
		t.equal(outcome.type === 'answered' ? runsOf(cluster, key) : 1, 1, `${key}: ${outcome.type}`);
		t.ok(runsOf(cluster, key) <= 1);
	}

	const streamOutcomes = await streams;
	t.ok(streamOutcomes.every(({type}) => type !== 'noAnswer'), 'every stream has an end');
	t.ok(streamOutcomes.some(outcome => outcome.type === 'answered' && outcome.isComplete), 'those on the other agent are complete');
	t.same(checkHistory(cluster.history.events), [], 'every outcome is consistent with what ran');
});

/** Longer than an entry's lease, so that the entry must not act on its old configuration when it is resumed. */
const suspensionMs = 3500;

// An entry is suspended while a booking runs, and another booking arrives in its
// socket meanwhile. The callers retry through the other entry and get both booked.
// Then the first entry is resumed, finishes the one and reads the other: it responds
// with the recorded outcome or with "not run" or "may have run"; it runs neither again.
t.test('a suspended entry is resumed with bookings in flight', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {ledgers: 1});
	const {relay} = cluster.ledgers[0]!;
	relay.setModes({forward: 'open', backward: 'held'});
	const running = cluster.book('running', {entry: 0, key: 'running'});
	await waitUntil('the booking runs', () => runsOf(cluster, 'running') === 1, {timeoutMs: stepTimeoutMs});
	cluster.entries[0]!.signal('SIGSTOP');
	const late = cluster.book('late', {entry: 0, key: 'late'});
	t.match(await cluster.book('early', {entry: 1, key: 'running'}), {type: 'refused', status: 409}, 'in progress');
	relay.setModes({forward: 'open', backward: 'open'});
	const runningOutcome = await bookUntilFinal(cluster, 'running');
	t.match(await bookUntilFinal(cluster, 'late'), {type: 'answered', isComplete: true}, 'booked through the other entry');
	await delay(suspensionMs);
	cluster.entries[0]!.signal('SIGCONT');
	const [runningFinal, lateFinal] = await Promise.all([running, late]);
	t.comment(`running: ${runningOutcome.type}, then ${runningFinal.type}; late: ${lateFinal.type}`);
	t.ok(['answered', 'mayHaveRun'].includes(runningFinal.type));
	t.ok(['answered', 'notRun'].includes(lateFinal.type));
	t.same(['running', 'late'].map(key => runsOf(cluster, key)), [1, 1]);
	t.same(checkHistory(cluster.history.events), []);
});
