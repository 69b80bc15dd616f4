import {setTimeout as delay} from 'node:timers/promises';
import {createHttpServer, readBody, sendJson} from '@bitternpaddle/transport';
import type {History} from '../history/events.js';

export type ServiceFaults = {
	/** Run the request, then close the connection instead of responding. */
	isCutAfterRun?: boolean;
	/** Run the request, then never respond. */
	isSilent?: boolean;
	/** Run the request, and respond after this delay. */
	stallMs?: number;
};

export type FakeService = {
	readonly address: string;
	readonly faults: ServiceFaults;
	/** Number of runs of each `Idempotency-Key`. */
	readonly runsPerKey: ReadonlyMap<string, number>;
	close(): Promise<void>;
};

export type FakeServiceOptions = {
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** The history in which runs are recorded, and the host id in these records. */
	readonly recordTo?: {readonly history: History; readonly hostId: string};
};

/** Creates a plain service, such as a ledger of bookings, that counts its runs. */
export const createFakeService = async ({listen = '127.0.0.1:0', recordTo}: FakeServiceOptions = {}): Promise<FakeService> => {
	const faults: ServiceFaults = {};
	const runsPerKey = new Map<string, number>();
	const server = await createHttpServer({
		listen,
		async handler(request, response) {
			const body = (await readBody(request)).toString();
			const key = String(request.headers['idempotency-key'] ?? '');
			const runCount = (runsPerKey.get(key) ?? 0) + 1;
			runsPerKey.set(key, runCount);
			recordTo?.history.record({
				type: 'runStarted', hostId: recordTo.hostId, requestId: String(request.headers['x-request-id'] ?? ''), echo: key, key: key === '' ? null : key, digest: null,
			});
			if (faults.isCutAfterRun) {
				response.destroy();
				return;
			}

			await delay(faults.stallMs ?? 0);
			if (!faults.isSilent) {
				sendJson(response, 200, {
					done: true, path: request.url, key, runs: runCount, bodyBytes: body.length,
				});
			}
		},
	});
	return {
		address: server.address,
		faults,
		runsPerKey,
		async close() {
			server.destroy();
		},
	};
};
