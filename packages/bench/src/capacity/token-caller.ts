import {Buffer} from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@bitternpaddle/coordination';
import {sendHttp} from '@bitternpaddle/transport';
import {build as buildHistogram, encodeIntoCompressedBase64} from 'hdr-histogram-js';
import type {TokenCall, TokenCallResult} from './token-call.js';

const eventStart = Buffer.from('data: ');

const countEvents = (part: Buffer): number => {
	let events = 0;
	for (let position = part.indexOf(eventStart); position !== -1; position = part.indexOf(eventStart, position + eventStart.length)) {
		events++;
	}

	return events;
};

const callMany = async ({addresses, authorization, requestsPerSecond, warmUpMs, measureMs, tokens, seed}: TokenCall): Promise<TokenCallResult> => {
	const random = createRandom(seed);
	const firstTokens = buildHistogram({numberOfSignificantValueDigits: 3});
	const gaps = buildHistogram({numberOfSignificantValueDigits: 3});
	const pool = new http.Agent({keepAlive: true, maxFreeSockets: 1024});
	const countFromMs = performance.now() + warmUpMs;
	const countToMs = countFromMs + measureMs;
	let countedTokens = 0;
	let failed = 0;
	const isCounted = (atMs: number): boolean => atMs >= countFromMs && atMs < countToMs;

	/** A received part with several tokens counts as one gap, followed by gaps of 0 for its other tokens, which is how a reader sees them. */
	const streamOne = async (address: string): Promise<void> => {
		const sentAtMs = performance.now();
		const response = await sendHttp({
			address, method: 'POST', path: '/v1/chat/completions', idleTimeoutMs: 10_000, agent: pool, headers: {authorization, 'content-type': 'application/json'},
			body: JSON.stringify({
				model: 'pitch-desk', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'hello'}],
			}),
		});
		if (response.statusCode !== 200) {
			response.resume();
			throw new Error(`streaming request failed with status ${response.statusCode}`);
		}

		let lastMs: number | null = null;
		for await (const part of response as AsyncIterable<Buffer>) {
			const events = countEvents(part);
			const nowMs = performance.now();
			if (events > 0 && lastMs === null && isCounted(sentAtMs)) {
				firstTokens.recordValue(Math.round((nowMs - sentAtMs) * 1000));
			} else if (events > 0 && lastMs !== null && isCounted(nowMs)) {
				gaps.recordValue(Math.round((nowMs - lastMs) * 1000));
			}

			if (events > 0 && isCounted(nowMs)) {
				countedTokens += events;
			}

			for (let further = 1; further < events && isCounted(nowMs); further++) {
				gaps.recordValue(0);
			}

			lastMs = events > 0 ? nowMs : lastMs;
		}
	};

	const recordFailure = (): void => {
		failed += isCounted(performance.now()) ? 1 : 0;
	};

	for (let dueMs = performance.now(); dueMs < countToMs;) {
		await delay(Math.max(0, dueMs - performance.now()));
		void streamOne(addresses[random.between(0, addresses.length - 1)]!).catch(recordFailure);
		// Exponentially distributed intervals, because callers arrive independently of each other.
		dueMs += -Math.log(random.between(1, 1_000_000) / 1_000_000) * 1000 / requestsPerSecond;
	}

	return {
		firstTokens: encodeIntoCompressedBase64(firstTokens), gaps: encodeIntoCompressedBase64(gaps), tokensPerSecond: countedTokens / measureMs * 1000, failed,
	};
};

process.stdout.write(`${JSON.stringify(await callMany(JSON.parse(process.argv[2]!) as TokenCall))}\n`);
// Streams that are still open are no longer needed.
process.exit(); // eslint-disable-line unicorn/no-process-exit
