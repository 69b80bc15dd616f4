import type http from 'node:http';
import {configurationDigestHeader, revisionHeader} from '@bitternpaddle/protocol';
import type {ConfigurationClient} from './configuration-client.js';

/** What this host and the other end of a request tell each other about their configuration. */
export type Peers = {
	/** What this host acts on. */
	headers(): Record<string, string | number>;
	/** Takes what came with an answer; catches up or starts anew meanwhile. */
	note(headers: http.IncomingHttpHeaders): void;
	/** Why a request that came with `headers` may not be served from this host's copy, or `null`; first catches up if it can. */
	meet(headers: http.IncomingHttpHeaders, timeoutMs: number): Promise<string | null>;
};

/** After this long the watch is taken for silent, and another control host is asked. */
const watchGraceMs = 200;

const peerOf = (headers: http.IncomingHttpHeaders): {revision: number; digest: string | null} => {
	const digest = headers[configurationDigestHeader];
	return {revision: Number(headers[revisionHeader] ?? 0), digest: typeof digest === 'string' ? digest : null};
};

/**
 * Compares configurations on the way of requests. A host whose connection to
 * control went silent would serve an old state until its lease ends; the first
 * request from a host that is ahead brings it up to date instead. Equal
 * revisions with unequal digests mean that one copy is wrong: nothing is
 * served, and both fetch theirs anew.
 */
export const createPeers = (configuration: ConfigurationClient): Peers => {
	const reach = async (revision: number, timeoutMs: number): Promise<boolean> => {
		if (await configuration.reach(revision, watchGraceMs)) {
			return true;
		}

		configuration.catchUp();
		return configuration.reach(revision, timeoutMs - watchGraceMs);
	};

	return {
		headers() {
			const {revision, digest} = configuration.inForce();
			return {[revisionHeader]: revision, [configurationDigestHeader]: digest};
		},
		note(headers) {
			const peer = peerOf(headers);
			const comparison = configuration.compare(peer);
			if (comparison === 'behind') {
				void reach(peer.revision, 2 * watchGraceMs);
			} else if (comparison === 'diverged') {
				configuration.resync();
			}
		},
		async meet(headers, timeoutMs) {
			const peer = peerOf(headers);
			if (configuration.compare(peer) === 'behind' && !await reach(peer.revision, timeoutMs)) {
				return 'the host is behind the configuration';
			}

			if (configuration.compare(peer) === 'diverged') {
				configuration.resync();
				return 'the host and the entry hold different configurations under one revision';
			}

			return null;
		},
	};
};
