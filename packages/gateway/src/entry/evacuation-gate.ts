import type {Logger} from '@bitternpaddle/transport';
import type {EvacuatedZones} from '../link/evacuated-zones.js';
import type {WatchResult} from '../link/methods.js';

/** Prevents an entry that has started from sending requests into a zone whose evacuation it does not know yet. */
export type EvacuationGate = {
	recordResult(result: Pick<WatchResult, 'evacuations' | 'freshAgeMs'>, nowMs: number): void;
	/** Whether requests may be sent: the evacuated zones were confirmed once since the start, or the deployment has no evacuations. */
	isOpen(): boolean;
};

export type EvacuationGateOptions = {
	readonly zones: EvacuatedZones;
	/** `null` if the deployment has no evacuations. */
	readonly evacuationMs: number | null;
	readonly logger: Logger;
	readonly startedAtMs: number;
};

export const createEvacuationGate = ({zones, evacuationMs, logger, startedAtMs}: EvacuationGateOptions): EvacuationGate => ({
	recordResult(result, nowMs) {
		const wasConfirmed = zones.isConfirmed();
		zones.recordResult(result, nowMs);
		if (!wasConfirmed && zones.isConfirmed()) {
			logger.event('BP4054', {zoneIds: zones.zoneIds(), revision: zones.revision(), sinceStartMs: Math.round(nowMs - startedAtMs)});
		}
	},
	isOpen: () => evacuationMs === null || zones.isConfirmed(),
});
