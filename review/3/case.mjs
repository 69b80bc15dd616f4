// Workers break off streams that they answer without a length: their connection is reset on the
// way. The route may not be resumed, so the entry ends the consumer's answer.
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	broken, consumerCall, couldNotRun, delay, held, runCase, until,
} from '../lib/deployment.mjs';

const eventCount = 21;
const workerCount = 8;
/** Within the limits for `garble` (`unframed`): half of the workers break off 0.03 of their answers (an option of the worker), for 8 s. */
const troubledCount = 4;
const troubleMs = 8000;
const callIntervalMs = 16;

/** `TROUBLE=0` plays the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const recordFile = path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt');

await runCase({recordFile, isTrouble: isTroubled}, async ({record, isTrouble, deploy}) => {
	const system = await deploy({
		workerCount,
		routes: [{
			name: 'r-note', host: 'hulo84.example', pathPrefix: '/xapu221/', type: 'streaming', timeoutMs: 6000, targetLatencyMs: 401, priority: 1, service: 'pool', maxAttempts: 2, public: false,
			sticky: true, resumable: false, itlTargetMs: 300,
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
	const switchTrouble = () => {
		for (const {child} of system.workers.slice(0, troubledCount)) {
			child.kill('SIGUSR2');
		}
	};

	const startedAtMs = performance.now();
	let isSwitchedOn = false;
	let isSwitchedOff = false;
	while (performance.now() - startedAtMs < 14_000) {
		const sinceMs = performance.now() - startedAtMs;
		if (isTrouble && !isSwitchedOn && sinceMs > 3000) {
			isSwitchedOn = true;
			switchTrouble();
		}

		if (isTrouble && isSwitchedOn && !isSwitchedOff && sinceMs > 3000 + troubleMs) {
			isSwitchedOff = true;
			switchTrouble();
		}

		calls.push(call());
		await delay(callIntervalMs);
	}

	const answers = await Promise.all(calls);
	await delay(500);
	const served = answers.filter(({status, end, events}) => status === 200 && end === 'complete' && events === eventCount).length;
	const early = answers.filter(({status, end, events}) => status === 200 && end === 'complete' && events < eventCount);
	const resets = system.runs.filter(({end}) => end === 'reset');
	for (const {id, framing, events} of early) {
		const run = system.runs.find(({ran}) => ran === id);
		record({
			brokenRule: 'MIXED', id, framing, events, of: eventCount, workerEnd: run?.end, workerFraming: run?.framing,
		});
	}

	const summary = {
		requests: answers.length, served, resets: resets.length, unframedResets: resets.filter(({framing}) => framing === 'none').length, looksCompleteButIsNot: early.length,
	};
	record(summary);
	console.log(JSON.stringify(summary));
	if (served < answers.length / 2) {
		return couldNotRun;
	}

	return early.length > 0 ? broken : held;
});
