import {planRollouts, type Presence, type RolloutWatch} from '@bitternpaddle/coordination';
import type {HostReport} from '@bitternpaddle/protocol';
import type {Catalog} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {Proposals} from './proposals.js';

export type RolloutDriverOptions = {
	readonly proposals: Proposals;
	readonly presence: Presence;
	readonly logger: Logger;
	isLeader(): boolean;
	catalog(): Catalog;
	/** What all hosts said last, from all control hosts. */
	gather(): Promise<HostReport[]>;
};

export const rolloutMs = 500;

/** Asks entries and proposes steps, only while this host leads and a move is running. */
export const createRolloutDriver = (options: RolloutDriverOptions): {advance(): Promise<void>} => {
	const {proposals, presence, logger, isLeader, catalog, gather} = options;
	const watch: RolloutWatch = new Map();
	let isAdvancing = false;

	const advance = async (): Promise<void> => {
		const entryReports = (await gather()).filter(({role}) => role === 'entry');
		const heard = new Set(entryReports.map(({hostId}) => hostId));
		const isComplete = [...presence.hosts].every(([hostId, {report}]) => report.role !== 'entry' || presence.silent.has(hostId) || heard.has(hostId));
		const changes = isLeader()
			? planRollouts({
				catalog: catalog(), watch, entryReports, isComplete, nowMs: performance.now(),
			})
			: [];
		for (const change of changes) {
			const result = await proposals.propose({commandId: null, ifRevision: null, change});
			if (result.type === 'accepted' && change.type === 'haltRollout') {
				logger.event('BP1010', {modelId: change.modelId, detail: change.detail});
			}
		}
	};

	return {
		async advance() {
			const isRunning = Object.values(catalog().rollouts).some(({state}) => state === 'running');
			if (!isLeader() || !isRunning) {
				// Another leader may have gone on meanwhile; this one would start its watch anew.
				watch.clear();
				return;
			}

			if (isAdvancing) {
				return;
			}

			isAdvancing = true;
			try {
				await advance();
			} catch {
				// Leadership was lost on the way; the next leader goes on from the catalog.
			} finally {
				isAdvancing = false;
			}
		},
	};
};
