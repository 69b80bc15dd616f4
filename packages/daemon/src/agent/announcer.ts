import {recordReceivedLimits, remainingLimits} from '@bitternpaddle/coordination';
import type {ChunkAnnouncement} from '@bitternpaddle/protocol';
import type {ManifestId} from '@bitternpaddle/state';
import {notifyRpc} from '@bitternpaddle/transport';
import type {TransferLinks} from './transfer-links.js';

export type AnnouncerOptions = {
	readonly selfId: string;
	readonly selfAddress: () => string;
	readonly manifestId: ManifestId;
	readonly links: TransferLinks;
	readonly addressOf: (hostId: string) => string | undefined;
};

/** Announces this host's chunks to its neighbor peers; announcements within a short window are batched into one message per peer. */
export type Announcer = {
	announce(to: readonly string[], chunks: readonly number[], isGreeting: boolean): void;
	close(): void;
};

const batchWindowMs = 10;
const timeoutMs = 2000;

export const createAnnouncer = ({selfId, selfAddress, manifestId, links, addressOf}: AnnouncerOptions): Announcer => {
	const pending = new Map<string, {readonly chunks: number[]; readonly isGreeting: boolean}>();
	let timer: NodeJS.Timeout | null = null;

	const flush = (): void => {
		timer = null;
		const limitsMs = remainingLimits(links.backoffs, performance.now());
		for (const [hostId, {chunks, isGreeting}] of pending) {
			const address = addressOf(hostId);
			if (address !== undefined) {
				const parameters: ChunkAnnouncement = {
					from: selfId, address: selfAddress(), manifestId, chunks, isGreeting, limitsMs,
				};
				notifyRpc({
					address, method: 'agent.have', params: parameters, timeoutMs,
				}).catch(() => undefined);
			}
		}

		pending.clear();
	};

	return {
		announce(to, chunks, isGreeting) {
			for (const hostId of to) {
				const queued = pending.get(hostId);
				pending.set(hostId, {chunks: [...queued?.chunks ?? [], ...chunks], isGreeting: isGreeting || queued?.isGreeting === true});
			}

			timer ??= setTimeout(flush, batchWindowMs);
		},
		close() {
			clearTimeout(timer ?? undefined);
			pending.clear();
		},
	};
};

export const recordAnnouncedLimits = (links: TransferLinks, {limitsMs}: ChunkAnnouncement): void => {
	recordReceivedLimits(links.backoffs, limitsMs, performance.now());
};
