import {hearRests, remainingRests} from '@bitternpaddle/coordination';
import type {HaveParameters} from '@bitternpaddle/protocol';
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

/** Tells neighbours what this host has; what comes within a moment goes in one message to each. */
export type Announcer = {
	announce(to: readonly string[], chunks: readonly number[]): void;
	close(): void;
};

const gatherMs = 10;
const timeoutMs = 2000;

export const createAnnouncer = ({selfId, selfAddress, manifestId, links, addressOf}: AnnouncerOptions): Announcer => {
	const pending = new Map<string, number[]>();
	let timer: NodeJS.Timeout | null = null;

	const flush = (): void => {
		timer = null;
		const restsMs = remainingRests(links.rests, performance.now());
		for (const [hostId, chunks] of pending) {
			const address = addressOf(hostId);
			if (address !== undefined) {
				const parameters: HaveParameters = {
					from: selfId, address: selfAddress(), manifestId, chunks, restsMs,
				};
				notifyRpc({
					address, method: 'agent.have', params: parameters, timeoutMs,
				}).catch(() => undefined);
			}
		}

		pending.clear();
	};

	return {
		announce(to, chunks) {
			for (const hostId of to) {
				pending.set(hostId, [...pending.get(hostId) ?? [], ...chunks]);
			}

			timer ??= setTimeout(flush, gatherMs);
		},
		close() {
			clearTimeout(timer ?? undefined);
			pending.clear();
		},
	};
};

export const hearAnnouncement = (links: TransferLinks, {restsMs}: HaveParameters): void => {
	hearRests(links.rests, restsMs, performance.now());
};
