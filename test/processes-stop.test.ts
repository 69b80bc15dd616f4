import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil} from '@bitternpaddle/daemon';
import {checkHistory, eventsOf, type CallOutcome} from '@bitternpaddle/test-support';
import t from 'tap';
import type {DaemonProcess} from './support/daemon-process.js';
import {createProcessCluster, stepTimeoutMs, type ProcessCluster} from './support/process-cluster.js';

const hasLogged = ({lines}: DaemonProcess, event: string): boolean => lines.some(line => line.includes(event));

const isCompleteAnswer = (outcome: CallOutcome): boolean => outcome.type === 'answered' && outcome.isComplete;

/** Sends commands one after another until `isOver`; returns the type of each response, or the text of the error. */
const sendCommandsUntil = async (cluster: ProcessCluster, name: string, isOver: () => boolean): Promise<Array<{accepted: boolean; text: string; line: string}>> => {
	const answers: Array<{accepted: boolean; text: string; line: string}> = [];
	for (let number = 0; !isOver(); number++) {
		const line = `create model ${name}-${number}`;
		const {body} = await cluster.send(line, undefined, line);
		answers.push({accepted: body.type === 'accepted', text: body.error?.message ?? body.type ?? '', line});
	}

	return answers;
};

/** One caller sends requests one after another through the second entry until `isOver`. */
const streamUntil = async (cluster: ProcessCluster, name: string, isOver: () => boolean): Promise<CallOutcome[]> => {
	const outcomes: CallOutcome[] = [];
	while (!isOver()) {
		outcomes.push(await cluster.stream(`${name}-${outcomes.length}`, {entry: 1, maxTokens: 5}));
	}

	return outcomes;
};

// Operators send commands without a pause while the leader of the control hosts gets
// SIGTERM. It accepts no more commands, commits those in flight, and notifies an
// up-to-date voter to start an election at once. Every command is accepted, since
// the others wait for the next leader and forward it; the process exits with code 0;
// hosts that watched it watch another control host before their leases expire.
t.test('the leader is stopped while commands are in flight', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2});
	await cluster.load();
	const leader = await cluster.leader();
	const {term} = (await cluster.readiness(leader))!;
	let isOver = false;
	const operators = Promise.all(['left', 'right'].map(async name => sendCommandsUntil(cluster, name, () => isOver)));
	await waitUntil('commands are accepted', async () => (await cluster.rows('show models')).length > 4, {timeoutMs: stepTimeoutMs});
	t.strictSame(await leader.terminate('SIGTERM'), {code: 0, signal: null}, 'the process exits by itself');
	t.ok(hasLogged(leader, 'BP1011'), 'it transferred the leadership');
	const next = await cluster.leader();
	t.equal((await cluster.readiness(next))!.term, term + 1, 'in one election');
	isOver = true;
	const answers = (await operators).flat();
	t.same(answers.filter(({accepted}) => !accepted), [], 'every command is accepted');
	const models = new Set((await cluster.rows('show models')).map(({model}) => `create model ${String(model)}`));
	t.same(answers.filter(({accepted, line}) => accepted && !models.has(line)), [], 'and in the configuration');
	await waitUntil('in force on every host', async () => (await cluster.rows('show revision'))[0]?.missing === '', {timeoutMs: stepTimeoutMs});
	t.same(cluster.daemons.filter(daemon => hasLogged(daemon, 'BP3005')).map(({hostId}) => hostId), [], 'no host lost its lease');
});

// A dozen streams run, and more callers keep sending requests through the other
// entry. Then an entry, an agent and the leader of the control hosts, each a separate
// process, get SIGTERM at the same time. Every stream reaches its end: a leaving
// process refuses new work, finishes what runs, and only then exits, with code 0.
t.test('an entry, an agent and the leader are stopped during streams', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2, tokenMs: 20});
	await cluster.load();
	const streams = Promise.all(Array.from({length: 12}, async (_, index) => cluster.stream(`long-${index}`, {entry: index % 2, maxTokens: 150})));
	await waitUntil('every stream runs', () => eventsOf(cluster.history.events, 'runStarted').length === 12, {timeoutMs: stepTimeoutMs});
	let isOver = false;
	const callers = Promise.all(Array.from({length: 4}, async (_, caller) => streamUntil(cluster, `caller-${caller}`, () => isOver)));
	const leaving = [cluster.entries[0]!, cluster.engines[0]!.agent, await cluster.leader()];
	for (const {hostId} of leaving) {
		cluster.history.record({type: 'leaveStarted', nodeId: hostId, cause: 'stop'});
	}

	t.strictSame(await Promise.all(leaving.map(async daemon => daemon.terminate('SIGTERM'))), leaving.map(() => ({code: 0, signal: null})), 'each exits by itself');
	t.same((await streams).filter(outcome => !isCompleteAnswer(outcome)), [], 'every stream is complete');
	isOver = true;
	t.same((await callers).flat().filter(outcome => !isCompleteAnswer(outcome)), [], 'no other caller is refused or gets a truncated answer');
	t.same(checkHistory(cluster.history.events), []);
});

// Guards against a signal that ends a process at once while it finishes its streams.
t.test('an entry that receives a second stop signal completes its streams', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 1, tokenMs: 20});
	await cluster.load();
	const streams = Promise.all(Array.from({length: 4}, async (_, index) => cluster.stream(`long-${index}`, {entry: 0, maxTokens: 60})));
	await waitUntil('every stream runs', () => eventsOf(cluster.history.events, 'runStarted').length === 4, {timeoutMs: stepTimeoutMs});
	const [entry] = cluster.entries;
	entry!.signal('SIGHUP');
	await waitUntil('it handles the first signal', () => hasLogged(entry!, 'BP9002'), {timeoutMs: stepTimeoutMs});
	entry!.signal('SIGTERM');
	await delay(100);
	t.strictSame(await entry!.terminate('SIGTERM'), {code: 0, signal: null});
	t.same((await streams).filter(outcome => !isCompleteAnswer(outcome)), []);
});
