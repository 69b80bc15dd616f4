import {setTimeout as delay} from 'node:timers/promises';
import {encodeCatalog, leaseTimes} from '@bitternpaddle/coordination';
import {watchParametersSchema, type HostReport, type WatchResult} from '@bitternpaddle/protocol';
import type {Catalog} from '@bitternpaddle/state';
import {createHttpServer, createRpcServer} from '@bitternpaddle/transport';

export type FakeControl = {
	readonly address: string;
	/** Last report of each host that asked. */
	readonly reports: ReadonlyMap<string, HostReport>;
	close(): Promise<void>;
};

export type FakeControlOptions = {
	/** What every host is given; read at each call. */
	readonly catalog: () => Catalog;
};

/** Answers watches as a control host with an unchanging catalog does, so that one entry or agent can be measured alone. */
export const createFakeControl = async ({catalog}: FakeControlOptions): Promise<FakeControl> => {
	const reports = new Map<string, HostReport>();
	const rpc = createRpcServer();
	rpc.method('control.watch', watchParametersSchema, async ({hostId, revision, report, waitMs}): Promise<WatchResult> => {
		const last = report ?? reports.get(hostId);
		if (last === undefined) {
			return {type: 'unknownHost'};
		}

		reports.set(hostId, {...last, revision});
		const given = catalog();
		const shared = {revision: given.revision, digest: given.digest, leaseMs: leaseTimes.hostLeaseMs};
		if (revision !== given.revision) {
			return {
				type: 'snapshot', catalog: await encodeCatalog(given), changes: [], ...shared,
			};
		}

		await delay(waitMs);
		return {type: 'changes', changes: [], ...shared};
	});
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			await rpc.serve(request, response);
		},
	});
	return {
		address: server.address,
		reports,
		async close() {
			server.destroy();
		},
	};
};
