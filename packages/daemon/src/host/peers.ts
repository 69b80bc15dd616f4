import type http from 'node:http';
import {configurationDigestHeader, revisionHeader} from '@bitternpaddle/protocol';
import type {ConfigurationClient} from './configuration-client.js';

/** Exchanges the configuration revision and digest with the peer in the headers of requests and responses. */
export type Peers = {
	/** Headers with the configuration that this host acts on. */
	headers(): Record<string, string | number>;
	/** Processes the headers of a response; catches up or fetches the configuration again in the background. */
	handleResponseHeaders(headers: http.IncomingHttpHeaders): void;
	/** The reason why a request with `headers` may not be served from this host's configuration copy, or `null`; first tries to catch up. */
	checkRequestHeaders(headers: http.IncomingHttpHeaders, timeoutMs: number): Promise<string | null>;
};

/** How long the watch may take to deliver a revision before another control host is polled. */
const watchGraceMs = 200;

const parsePeer = (headers: http.IncomingHttpHeaders): {revision: number; digest: string | null} => {
	const digest = headers[configurationDigestHeader];
	return {revision: Number(headers[revisionHeader] ?? 0), digest: typeof digest === 'string' ? digest : null};
};

/**
 * Compares configurations along the path of requests. A host whose connection
 * to control stalled would serve an outdated configuration until its lease
 * ends; instead, the first request from a host with a newer revision makes it
 * catch up. Equal revisions with different digests mean that one copy is wrong:
 * the request is refused, and both hosts fetch their copy again.
 */
export const createPeers = (configuration: ConfigurationClient): Peers => {
	const catchUpTo = async (revision: number, timeoutMs: number): Promise<boolean> => {
		if (await configuration.waitForRevision(revision, watchGraceMs)) {
			return true;
		}

		configuration.catchUp();
		return configuration.waitForRevision(revision, timeoutMs - watchGraceMs);
	};

	return {
		headers() {
			const {revision, digest} = configuration.inForce();
			return {[revisionHeader]: revision, [configurationDigestHeader]: digest};
		},
		handleResponseHeaders(headers) {
			const peer = parsePeer(headers);
			const comparison = configuration.compare(peer);
			if (comparison === 'behind') {
				void catchUpTo(peer.revision, 2 * watchGraceMs);
			} else if (comparison === 'diverged') {
				configuration.resync();
			}
		},
		async checkRequestHeaders(headers, timeoutMs) {
			const peer = parsePeer(headers);
			if (configuration.compare(peer) === 'behind' && !await catchUpTo(peer.revision, timeoutMs)) {
				return 'the host has not received the configuration revision of the request';
			}

			if (configuration.compare(peer) === 'diverged') {
				configuration.resync();
				return 'the host and the entry have different configurations with the same revision';
			}

			return null;
		},
	};
};
