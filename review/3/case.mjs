// Two workers crash one after the other. The second one continues streams of the first, in
// answers without a length. The consumer's answer has chunks, because the first worker's had.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	broken, consumerCall, couldNotRun, delay, held, runCase, until,
} from '../lib/deployment.mjs';

const eventCount = 21;
/** Within the limit for `srv_crash`: at most 0.17 of the workers of a service are down at once. */
const workerCount = 12;
const callIntervalMs = 12;
/** Time between the two crashes; a stream takes 0.9 s. */
const crashGapMs = 250;
const downMs = 3000;
const roundsAtMs = [3000, 11_000];
const playMs = 16_000;
/** Every second worker answers without a length. */
const workerOptions = index => ({isUnframed: index % 2 === 1});

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, isTrouble, deploy}) => {
	const system = await deploy({
		workerCount,
		workerOptions,
		routes: [{
			name: 'r-note', host: 'hulo84.example', pathPrefix: '/xapu221/', type: 'streaming', timeoutMs: 6000, targetLatencyMs: 401, priority: 1, service: 'pool', maxAttempts: 2, public: false,
			sticky: true, resumable: true, itlTargetMs: 300,
		}],
	});
	let count = 0;
	const call = async () => {
		const id = `c-${count++}`;
		const entry = count % 3;
		record({sent: id, entry});
		const answer = await consumerCall({
			address: system.frontend(entry), path: '/xapu221/note', host: 'hulo84.example', key: 'jnbanfqasnmgkcuyj8pj', id,
			headers: {'X-Bitternpaddle-Model': 'model-a', 'X-Bitternpaddle-Token-Usage': '973,126', 'X-Bitternpaddle-Prefix-Hash': `5c1e07a2:40,${(0x10_00_00_00 + count).toString(16)}:933`},
		});
		const events = answer.body.split('\n\n').filter(event => event !== '').length;
		record({
			answered: id, status: answer.status, framing: answer.framing, end: answer.end, events,
		});
		return {id, ...answer, events};
	};

	await system.ready();
	await until('a stream is answered', async () => (await call()).status === 200);
	await delay(3000);
	const calls = [];
	const startedAtMs = performance.now();
	const crash = index => {
		record({disturbance: `worker ${index} crashes`});
		system.workers[index].child.kill('SIGKILL');
	};

	const openRuns = (index, isCounted) => system.runs.filter(run => run.worker === index && isCounted(run))
		.reduce((sum, {began, ran}) => sum + (began === undefined ? 0 : 1) - (ran === undefined ? 0 : 1), 0);
	/** The index of the worker with the most running streams of a kind, among those with even or odd indexes. */
	const busiest = (remainder, isCounted) => system.workers.map(({index}) => index).filter(index => index % 2 === remainder)
		.toSorted((a, b) => openRuns(b, isCounted) - openRuns(a, isCounted))[0];
	/** A worker that answers with chunks crashes, then one that answers without a length and continues streams; both come back. */
	const crashTwo = async () => {
		const first = busiest(0, () => true);
		crash(first);
		await delay(crashGapMs);
		const second = busiest(1, ({from}) => from > 0);
		crash(second);
		await delay(downMs);
		for (const index of [first, second]) {
			system.workers[index] = system.startWorker(index, {...workerOptions(index), version: null});
		}
	};

	const rounds = isTrouble
		? roundsAtMs.map(async atMs => {
			await delay(atMs);
			await crashTwo();
		})
		: [];
	while (performance.now() - startedAtMs < playMs) {
		calls.push(call());
		await delay(callIntervalMs);
	}

	await Promise.all(rounds);
	const answers = await Promise.all(calls);
	await delay(500);
	const served = answers.filter(({status, end, events}) => status === 200 && end === 'complete' && events === eventCount).length;
	const early = answers.filter(({status, end, events, framing}) => status === 200 && end === 'complete' && framing === 'chunked' && events < eventCount);
	for (const {id, framing, events} of early) {
		record({
			brokenRule: 'ORDER', id, framing, events, of: eventCount, runs: system.runs.filter(({began}) => began === id),
		});
	}

	const summary = {
		requests: answers.length, served, looksCompleteButIsNot: early.length,
		otherwiseCut: answers.filter(({status, events}) => status === 200 && events < eventCount).length - early.length,
	};
	record(summary);
	console.log(JSON.stringify(summary));
	if (served < answers.length / 2) {
		return couldNotRun;
	}

	return early.length > 0 ? broken : held;
});
