import {waitUntil} from '@bitternpaddle/daemon';
import {checkHistory, eventsOf, type CallOutcome} from '@bitternpaddle/test-support';
import t, {type Test} from 'tap';
import {createHoldingProxy, type HoldingProxy} from './support/holding-proxy.js';
import {createProcessCluster, stepTimeoutMs, type ProcessCluster} from './support/process-cluster.js';

const key = 'gate-7';

type ClusterWithProxies = {readonly cluster: ProcessCluster; readonly proxies: readonly HoldingProxy[]};

/** Starts two entries and a ledger; the first entry reaches the control hosts only through proxies that hold one step of a claim. */
const startCluster = async (t: Test, step: {readonly pattern: RegExp; readonly hold: 'request' | 'answer'}): Promise<ClusterWithProxies> => {
	const proxies: HoldingProxy[] = [];
	const cluster = await createProcessCluster(t, {
		ledgers: 1,
		async firstEntryControls(addresses) {
			for (const target of addresses) {
				proxies.push(await createHoldingProxy(t, {target, ...step}));
			}

			return proxies.map(({address}) => address);
		},
	});
	return {cluster, proxies};
};

const runsOf = ({history}: ProcessCluster): number => eventsOf(history.events, 'runStarted').filter(run => run.key === key).length;

/** Retries through the remaining entry until the outcome is final; returns all outcomes. */
const retryUntilFinal = async (cluster: ProcessCluster): Promise<CallOutcome[]> => {
	const outcomes: CallOutcome[] = [];
	await waitUntil('a final outcome', async () => {
		outcomes.push(await cluster.book(`resend-${outcomes.length}`, {entry: 1, key}));
		return outcomes.at(-1)!.type === 'answered' || outcomes.at(-1)!.type === 'mayHaveRun';
	}, {timeoutMs: stepTimeoutMs});
	return outcomes;
};

/** Whether a caller retry may get this before the final outcome: the key is in progress, or it did not run. */
const isNotFinal = ({type}: CallOutcome): boolean => type === 'refused' || type === 'notRun';

const assertOneRun = (t: Test, cluster: ProcessCluster, outcomes: readonly CallOutcome[]): void => {
	t.ok(outcomes.slice(0, -1).every(outcome => isNotFinal(outcome)), 'earlier outcomes are at most "in progress"');
	t.equal(runsOf(cluster), 1, 'one run');
	t.same(checkHistory(cluster.history.events), []);
};

const assertAnswered = (t: Test, cluster: ProcessCluster, outcomes: readonly CallOutcome[]): void => {
	t.match(outcomes.at(-1), {type: 'answered', isComplete: true, echo: key}, 'the caller retry gets the outcome');
	assertOneRun(t, cluster, outcomes);
};

// An entry is killed while its claim of a booking is on its way to the control
// hosts, and the claim arrives after the entry has exited. The caller retry through another
// entry finds the claim, has the request gate bar the request that was never sent,
// and then runs the booking itself.
t.test('an entry is killed before its claim is written', {timeout: 120_000}, async t => {
	const {cluster, proxies} = await startCluster(t, {pattern: /"type":"claim"/v, hold: 'request'});
	const first = cluster.book('first', {entry: 0, key});
	await Promise.race(proxies.map(async proxy => proxy.caught));
	await cluster.entries[0]!.terminate('SIGKILL');
	t.match(await first, {type: 'cut'});
	for (const proxy of proxies) {
		proxy.release();
	}

	assertAnswered(t, cluster, await retryUntilFinal(cluster));
});

// The claim is written, but the entry is killed before it gets the response: it
// sends nothing to the ledger. The caller retry must neither wait for it forever nor run
// in parallel with a request that is still in transit: the request gate bars that
// one first.
t.test('an entry is killed after its claim and before the dispatch', {timeout: 120_000}, async t => {
	const {cluster, proxies} = await startCluster(t, {pattern: /"type":"claim"/v, hold: 'answer'});
	const first = cluster.book('first', {entry: 0, key});
	await Promise.race(proxies.map(async proxy => proxy.caught));
	await cluster.entries[0]!.terminate('SIGKILL');
	t.match(await first, {type: 'cut'});
	t.equal(runsOf(cluster), 0, 'nothing has run yet');
	assertAnswered(t, cluster, await retryUntilFinal(cluster));
});

// The ledger has the booking and has not answered when the entry is killed. A
// caller retry gets "in progress"; the ledger answers, and the next one gets that
// answer, read back from the request gate. Only if the answer takes more than five
// seconds, the request gate has abandoned the run by then: it may have run.
t.test('an entry is killed after the dispatch and before the answer', {timeout: 120_000}, async t => {
	const {cluster} = await startCluster(t, {pattern: /never/v, hold: 'request'});
	const {relay} = cluster.ledgers[0]!;
	relay.setModes({forward: 'open', backward: 'held'});
	const first = cluster.book('first', {entry: 0, key});
	await waitUntil('the ledger has the booking', () => runsOf(cluster) === 1, {timeoutMs: stepTimeoutMs});
	await cluster.entries[0]!.terminate('SIGKILL');
	t.match(await first, {type: 'cut'});
	t.match(await cluster.book('early', {entry: 1, key}), {type: 'refused', status: 409}, 'in progress');
	relay.setModes({forward: 'open', backward: 'open'});
	assertOneRun(t, cluster, await retryUntilFinal(cluster));
});

// The ledger has answered, and the entry is killed while it records the outcome;
// the caller has got no response. The outcome never arrives. The caller retry gets the
// ledger's answer from the request gate.
t.test('an entry is killed after the answer and before the outcome is recorded', {timeout: 120_000}, async t => {
	const {cluster, proxies} = await startCluster(t, {pattern: /"type":"concludeClaim"/v, hold: 'request'});
	const first = cluster.book('first', {entry: 0, key});
	await Promise.race(proxies.map(async proxy => proxy.caught));
	t.equal(runsOf(cluster), 1);
	await cluster.entries[0]!.terminate('SIGKILL');
	t.match(await first, {type: 'cut'});
	assertAnswered(t, cluster, await retryUntilFinal(cluster));
});
