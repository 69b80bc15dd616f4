import type {Logger} from '@bitternpaddle/transport';
import type {WatchResult} from './methods.js';

/** The evacuated availability zones that this process knows; a revision is never replaced by an older one. */
export type EvacuatedZones = {
	/** Records a watch result; an older revision changes nothing. */
	recordResult(result: Pick<WatchResult, 'evacuations' | 'freshAgeMs'>, nowMs: number): void;
	isEvacuated(zoneId: string): boolean;
	/** When the evacuation of the zone ended, by this process's clock; `null` if it was not evacuated while this process ran. */
	endedAtMs(zoneId: string): number | null;
	/** Whether a core host that is confirmed to hold all acknowledged documents has answered since the start. */
	isConfirmed(): boolean;
	zoneIds(): readonly string[];
	/** Revision of the evacuations held here; -1 if none were received. */
	revision(): number;
};

/**
 * Maximum age of a core host's confirmation that counts. Every entry must know an
 * evacuation within 1,000 ms of its acknowledgement; a core host that lost the others
 * longer ago may not know the latest one.
 */
const maxConfirmationAgeMs = 1000;

export const createEvacuatedZones = ({logger}: {readonly logger: Logger}): EvacuatedZones => {
	let revision = -1;
	let zoneIds: ReadonlySet<string> = new Set();
	let isConfirmed = false;
	const endedAtMs = new Map<string, number>();

	const apply = (newZoneIds: ReadonlySet<string>, nowMs: number): void => {
		for (const zoneId of newZoneIds) {
			if (!zoneIds.has(zoneId)) {
				endedAtMs.delete(zoneId);
				logger.event('BP4050', {zoneId, revision});
			}
		}

		for (const zoneId of zoneIds) {
			if (!newZoneIds.has(zoneId)) {
				endedAtMs.set(zoneId, nowMs);
				logger.event('BP4051', {zoneId, revision});
			}
		}

		zoneIds = newZoneIds;
	};

	return {
		recordResult({evacuations, freshAgeMs}, nowMs) {
			if (evacuations === null) {
				return;
			}

			isConfirmed ||= freshAgeMs !== null && freshAgeMs <= maxConfirmationAgeMs;
			if (evacuations.revision > revision) {
				({revision} = evacuations);
				apply(new Set(evacuations.zoneIds), nowMs);
			}
		},
		isEvacuated: zoneId => zoneIds.has(zoneId),
		endedAtMs: zoneId => endedAtMs.get(zoneId) ?? null,
		isConfirmed: () => isConfirmed,
		zoneIds: () => [...zoneIds],
		revision: () => revision,
	};
};
