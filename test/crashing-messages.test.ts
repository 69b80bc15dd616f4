import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil} from '@bitternpaddle/daemon';
import t from 'tap';
import {createRequestCluster, isCompleteStream} from './support/request-cluster.js';

const stableMs = 3000;
/** Maximum number of runs later than that after the fifth crash. */
const allowedRuns = 3;
const rules = 'the rules of the desk';
const fatal = 'a quoted note';

// Guards against judging whole requests only: requests that differ, but share the message that crashes engines.
t.test('a message that crashes its endpoints is soon run by none, in whichever request it is', async t => {
	const cluster = await createRequestCluster(t, {engines: 6, entries: 2});
	await cluster.load(1);
	const fault = {content: fatal, downMs: 100, crashes: 0};
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.crashesOnMessage = fault;
	}

	const stopped = new AbortController();
	const soundStatuses: number[] = [];
	const sound = Array.from({length: 4}, async (_, caller) => {
		for (let turn = 0; !stopped.signal.aborted; turn++) {
			const answer = await cluster.chat({content: `question ${caller} ${turn}`, context: [rules, `theme ${turn % 3}`], entry: (caller + turn) % 2}).catch(() => null);
			soundStatuses.push(answer?.status ?? 0);
			await delay(50);
		}
	});
	const sendBad = async (number: number) => cluster.chat({content: `bad question ${number}`, context: [rules, fatal], entry: number % 2}).catch(() => null);
	let sent = 0;
	const sendBadUntil = async (isDone: () => boolean): Promise<void> => {
		while (!isDone()) {
			await Promise.race([sendBad(sent), delay(1000)]);
			sent++;
			await delay(50);
		}
	};

	await sendBadUntil(() => fault.crashes >= 5);
	const fifthAtMs = performance.now();
	await sendBadUntil(() => performance.now() > fifthAtMs + stableMs);
	const before = fault.crashes;
	for (let index = 0; index < 8; index++) {
		await sendBad(1000 + index);
	}

	t.ok(fault.crashes - before <= allowedRuns, `${fault.crashes - before} runs, ${fault.crashes} in all`);
	t.same((await Promise.all([0, 1].map(async entry => cluster.chat({content: 'last', context: [rules, fatal], entry})))).map(({status}) => status), [400, 400]);
	stopped.abort();
	await Promise.all(sound);
	t.notOk(soundStatuses.includes(400), 'no sound request is refused for good');
	await waitUntil('sound requests are answered', async () => {
		const answer = await cluster.chat({content: 'another', context: [rules]}).catch(() => null);
		return answer !== null && isCompleteStream(answer);
	});
});
