import {waitUntil} from '@bitternpaddle/daemon';
import {checkHistory, eventsOf, type CallOutcome} from '@bitternpaddle/test-support';
import t from 'tap';
import type {DaemonProcess} from './support/daemon-process.js';
import {createProcessCluster, patientMs, type ProcessCluster} from './support/process-cluster.js';

const saidEvent = ({lines}: DaemonProcess, event: string): boolean => lines.some(line => line.includes(event));

const isWhole = (outcome: CallOutcome): boolean => outcome.type === 'answered' && outcome.isComplete;

/** Operators send orders one after another until `isOver`; gives each answer's type, or the error's text. */
const orderUntil = async (cluster: ProcessCluster, name: string, isOver: () => boolean): Promise<Array<{accepted: boolean; text: string; line: string}>> => {
	const answers: Array<{accepted: boolean; text: string; line: string}> = [];
	for (let number = 0; !isOver(); number++) {
		const line = `create model ${name}-${number}`;
		const {body} = await cluster.send(line, undefined, line);
		answers.push({accepted: body.type === 'accepted', text: body.error?.message ?? body.type ?? '', line});
	}

	return answers;
};

/** One caller asks again and again through the second entry until `isOver`. */
const askUntil = async (cluster: ProcessCluster, name: string, isOver: () => boolean): Promise<CallOutcome[]> => {
	const outcomes: CallOutcome[] = [];
	while (!isOver()) {
		outcomes.push(await cluster.stream(`${name}-${outcomes.length}`, {entry: 1, maxTokens: 5}));
	}

	return outcomes;
};

// Operators send orders without a pause while the leading control host gets
// SIGTERM. It takes no more orders, has those under way committed, and tells an
// up-to-date voter to stand for election at once. Every order is accepted, since
// the others wait for the next leader and pass it on; the process ends with code
// 0; hosts that watched it watch another before their leases are over.
t.test('the leader is stopped while orders are under way', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2});
	await cluster.load();
	const leader = await cluster.leader();
	const {term} = (await cluster.readiness(leader))!;
	let isOver = false;
	const operators = Promise.all(['left', 'right'].map(async name => orderUntil(cluster, name, () => isOver)));
	await waitUntil('orders are accepted', async () => (await cluster.rows('show models')).length > 4, {timeoutMs: patientMs});
	t.strictSame(await leader.end('SIGTERM'), {code: 0, signal: null}, 'the process ends by itself');
	t.ok(saidEvent(leader, 'BP1011'), 'it handed the leadership over');
	const next = await cluster.leader();
	t.equal((await cluster.readiness(next))!.term, term + 1, 'by one election');
	isOver = true;
	const answers = (await operators).flat();
	t.same(answers.filter(({accepted}) => !accepted), [], 'every order is accepted');
	const models = new Set((await cluster.rows('show models')).map(({model}) => `create model ${String(model)}`));
	t.same(answers.filter(({accepted, line}) => accepted && !models.has(line)), [], 'and in the configuration');
	await waitUntil('in force on every host', async () => (await cluster.rows('show revision'))[0]?.missing === '', {timeoutMs: patientMs});
	t.same(cluster.daemons.filter(daemon => saidEvent(daemon, 'BP3005')).map(({hostId}) => hostId), [], 'no host lost its lease');
});

// A dozen streams run, and more callers keep asking through the other entry.
// Then an entry, an agent and the leading control host get SIGTERM at the same
// moment, each a process of its own. Every stream comes to its end: whoever
// leaves refuses new work, finishes what runs, and only then ends, with code 0.
t.test('an entry, an agent and the leader are stopped in mid-stream', {timeout: 120_000}, async t => {
	const cluster = await createProcessCluster(t, {engines: 2, tokenMs: 20});
	await cluster.load();
	const streams = Promise.all(Array.from({length: 12}, async (_, index) => cluster.stream(`long-${index}`, {entry: index % 2, maxTokens: 150})));
	await waitUntil('every stream runs', () => eventsOf(cluster.history.events, 'runStarted').length === 12, {timeoutMs: patientMs});
	let isOver = false;
	const callers = Promise.all(Array.from({length: 4}, async (_, caller) => askUntil(cluster, `caller-${caller}`, () => isOver)));
	const leaving = [cluster.entries[0]!, cluster.engines[0]!.agent, await cluster.leader()];
	for (const {hostId} of leaving) {
		cluster.history.record({type: 'leaveStarted', nodeId: hostId, cause: 'stop'});
	}

	t.strictSame(await Promise.all(leaving.map(async daemon => daemon.end('SIGTERM'))), leaving.map(() => ({code: 0, signal: null})), 'each ends by itself');
	t.same((await streams).filter(outcome => !isWhole(outcome)), [], 'every stream is whole');
	isOver = true;
	t.same((await callers).flat().filter(outcome => !isWhole(outcome)), [], 'no other caller is refused or cut off');
	t.same(checkHistory(cluster.history.events), []);
});
