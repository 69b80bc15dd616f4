import {setTimeout as delay} from 'node:timers/promises';
import {createHttpServer, readBody, sendJson} from '@bitternpaddle/transport';
import type {History} from '../history/events.js';

export type ServiceFaults = {
	/** Run, then cut the connection instead of answering. */
	isCutAfterRun?: boolean;
	/** Run, then never answer. */
	isSilent?: boolean;
	/** Run, and answer so much later. */
	stallMs?: number;
};

export type FakeService = {
	readonly address: string;
	readonly faults: ServiceFaults;
	/** How often each `Idempotency-Key` has run. */
	readonly runsPerKey: ReadonlyMap<string, number>;
	close(): Promise<void>;
};

export type FakeServiceOptions = {
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Where runs are recorded, and under which host. */
	readonly recordTo?: {readonly history: History; readonly hostId: string};
};

/** A plain service, such as a ledger of bookings, that counts what it runs. */
export const createFakeService = async ({listen = '127.0.0.1:0', recordTo}: FakeServiceOptions = {}): Promise<FakeService> => {
	const faults: ServiceFaults = {};
	const runsPerKey = new Map<string, number>();
	const server = await createHttpServer({
		listen,
		async handler(request, response) {
			const body = (await readBody(request)).toString();
			const key = String(request.headers['idempotency-key'] ?? '');
			const runs = (runsPerKey.get(key) ?? 0) + 1;
			runsPerKey.set(key, runs);
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
					done: true, path: request.url, key, runs, bodyBytes: body.length,
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
