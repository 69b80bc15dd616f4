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
	/** Gathers the latest report of every host from all control hosts. */
	gather(): Promise<HostReport[]>;
};

export const rolloutIntervalMs = 500;

/** Gathers entry reports and proposes rollout steps, only while this host leads and a rollout is running. */
export const createRolloutDriver = (options: RolloutDriverOptions): {advance(): Promise<void>} => {
	const {proposals, presence, logger, isLeader, catalog, gather} = options;
	const rolloutWatch: RolloutWatch = new Map();
	let isAdvancing = false;

	const advance = async (): Promise<void> => {
		const entryReports = (await gather()).filter(({role}) => role === 'entry');
		const reportingHostIds = new Set(entryReports.map(({hostId}) => hostId));
		const isComplete = [...presence.hosts].every(([hostId, {report}]) => report.role !== 'entry' || presence.silent.has(hostId) || reportingHostIds.has(hostId));
		const changes = isLeader()
			? planRollouts({
				catalog: catalog(), watch: rolloutWatch, entryReports, isComplete, nowMs: performance.now(),
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
				// Another leader may have advanced the rollout meanwhile, so a later term of this one starts with no observations.
				rolloutWatch.clear();
				return;
			}

			if (isAdvancing) {
				return;
			}

			isAdvancing = true;
			try {
				await advance();
			} catch {
				// Leadership was lost meanwhile; the next leader continues from the catalog.
			} finally {
				isAdvancing = false;
			}
		},
	};
};
