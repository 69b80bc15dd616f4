import {setTimeout as delay} from 'node:timers/promises';
import {encodeCatalog, leaseTimes} from '@bitternpaddle/coordination';
import {watchParametersSchema, type HostReport, type WatchResult} from '@bitternpaddle/protocol';
import type {Catalog} from '@bitternpaddle/state';
import {createHttpServer, createRpcServer} from '@bitternpaddle/transport';

export type FakeControl = {
	readonly address: string;
	/** The most recent report of each host that sent a watch request. */
	readonly reports: ReadonlyMap<string, HostReport>;
	close(): Promise<void>;
};

export type FakeControlOptions = {
	/** Returns the catalog that every host receives; called for each watch request. */
	readonly catalog: () => Catalog;
};

/** Answers watch requests like a control host whose catalog does not change, so that one entry or agent can be measured in isolation. */
export const createFakeControl = async ({catalog}: FakeControlOptions): Promise<FakeControl> => {
	const reports = new Map<string, HostReport>();
	const rpc = createRpcServer();
	rpc.method('control.watch', watchParametersSchema, async ({hostId, revision, report, waitMs}): Promise<WatchResult> => {
		const last = report ?? reports.get(hostId);
		if (last === undefined) {
			return {type: 'unknownHost'};
		}

		reports.set(hostId, {...last, revision});
		const current = catalog();
		const shared = {revision: current.revision, digest: current.digest, leaseMs: leaseTimes.hostLeaseMs};
		if (revision !== current.revision) {
			return {
				type: 'snapshot', catalog: await encodeCatalog(current), changes: [], ...shared,
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
