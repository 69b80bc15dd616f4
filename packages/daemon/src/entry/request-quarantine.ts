import {
	clearancesToRepeat, clearRequest, createCrashLedger, fingerprintOf, isEmpty, mayBeKnown, outlineOf, pruneLedger, sightingsToRepeat, takeSightings, verdictOn,
	type AnswerStage, type CrashSighting, type FingerprintedRequest, type RequestFingerprint, type Verdict,
} from '@bitternpaddle/coordination';
import type {EntryCrashesParameters} from '@bitternpaddle/protocol';
import type {Logger, Metrics} from '@bitternpaddle/transport';
import {RefusedError, type Call} from './call.js';
import {nameOf} from './target-names.js';

/** What entries tell each other of requests that were at endpoints when these ended. */
export type CrashNews = Omit<EntryCrashesParameters, 'token'>;

export type RequestQuarantineOptions = {
	/** Addresses of the other entries. */
	listPeers(): Promise<readonly string[]>;
	/** Tells one other entry; fails if it cannot be reached. */
	tell(address: string, news: CrashNews): Promise<void>;
	readonly logger: Logger;
	readonly metrics?: Metrics;
	/** Between repetitions to a peer at random, since an entry may have been out of reach or start anew. @default 1000 */
	readonly repeatMs?: number;
};

/** Keeps requests that end the endpoints that run them from all further endpoints, at every entry. */
export type RequestQuarantine = {
	/** Why a call must not be sent to an endpoint; `null` if it may. */
	verdictOn(call: Call): Verdict | null;
	/** Calls `stop` if a verdict on the call comes while it is under way; returns what ends that. */
	watch(call: Call, stop: () => void): () => void;
	/** An endpoint's process ended while it had the call. */
	noteEnded(call: Call, hostId: string, stage: AnswerStage): void;
	/** An endpoint gave the call a whole answer. */
	noteCompleted(call: Call): void;
	/** Another entry's news. */
	hear(news: CrashNews): void;
	close(): void;
};

/** In one call to another entry, which reads 16 KiB; where there is more, the next one goes on behind it. */
const mostRepeated = 32;

/** What a caller is told whose call is sent to no endpoint. */
export const refusalOf = ({evidence}: Verdict): RefusedError => new RefusedError({
	status: 400, type: 'invalid_request', message: `${evidence.length} endpoints ended while they had this request; it is sent to no other for now`,
});

const requestOf = (call: Call): FingerprintedRequest => ({
	method: call.method, host: nameOf(call.target), path: call.path, teamName: call.teamId, body: call.body,
});

const decodeSighting = ({fingerprint, address, ageMs, stage}: CrashNews['sightings'][number], nowMs: number): CrashSighting => ({
	fingerprint: fingerprint as RequestFingerprint, address, atMs: nowMs - ageMs, stage,
});

export const createRequestQuarantine = ({listPeers, tell, logger, metrics, repeatMs = 1000}: RequestQuarantineOptions): RequestQuarantine => {
	const ledger = createCrashLedger();
	const watched = new Map<Call, () => void>();
	let repeatedFrom = 0;
	const nowMs = (): number => performance.now();

	const newsOf = (sightings: readonly CrashSighting[]): CrashNews => {
		const now = nowMs();
		const ageMs = (atMs: number): number => Math.max(0, Math.round(now - atMs));
		return {
			sightings: sightings.map(({fingerprint, address, atMs, stage}) => ({
				fingerprint, address, ageMs: ageMs(atMs), stage,
			})),
			condemned: [...new Set(sightings.map(({fingerprint}) => fingerprint))].filter(fingerprint => ledger.verdicts.has(fingerprint)),
			clearances: clearancesToRepeat(ledger, now).slice(-mostRepeated).map(({fingerprint, atMs}) => ({fingerprint, ageMs: ageMs(atMs)})),
		};
	};

	const tellOne = async (address: string, news: CrashNews): Promise<void> => {
		try {
			await tell(address, news);
		} catch {
			// It is told again, or by another entry.
		}
	};

	const tellAll = async (news: CrashNews): Promise<void> => {
		try {
			await Promise.all((await listPeers()).map(async address => tellOne(address, news)));
		} catch {
			// Without a list of entries there is nobody to tell yet.
		}
	};

	const repeat = async (): Promise<void> => {
		pruneLedger(ledger, nowMs());
		const all = sightingsToRepeat(ledger, nowMs());
		repeatedFrom = repeatedFrom < all.length ? repeatedFrom : 0;
		const sightings = all.slice(repeatedFrom, repeatedFrom + mostRepeated);
		repeatedFrom += sightings.length;
		if (sightings.length === 0) {
			return;
		}

		try {
			const peers = await listPeers();
			const peer = peers[Math.floor(Math.random() * peers.length)];
			if (peer !== undefined) {
				await tellOne(peer, newsOf(sightings));
			}
		} catch {
			// The next repetition finds a list of entries, or the one behind it.
		}
	};

	const take = (sightings: readonly CrashSighting[], condemnedElsewhere?: ReadonlySet<RequestFingerprint>): void => {
		const {verdicts} = takeSightings(ledger, sightings, nowMs(), condemnedElsewhere);
		for (const {fingerprint, evidence, untilMs} of verdicts) {
			logger.event('BP2004', {
				fingerprint, hosts: evidence.map(({address}) => address), agesMs: evidence.map(({atMs}) => Math.round(nowMs() - atMs)), untilMs: Math.round(untilMs - nowMs()),
			});
			metrics?.increment('entry.quarantined', {});
		}

		if (verdicts.length > 0) {
			stopWatched();
		}
	};

	const isKnown = (call: Call): boolean => !isEmpty(ledger) && mayBeKnown(ledger, outlineOf(requestOf(call)));
	const verdictOf = (call: Call): Verdict | null => isKnown(call) ? verdictOn(ledger, fingerprintOf(requestOf(call)), nowMs()) : null;

	const stopWatched = (): void => {
		for (const [call, stop] of watched) {
			if (verdictOf(call) !== null) {
				stop();
			}
		}
	};

	const timer = setInterval(() => {
		void repeat();
	}, repeatMs);
	timer.unref();
	return {
		verdictOn: verdictOf,
		watch(call, stop) {
			watched.set(call, stop);
			return () => {
				watched.delete(call);
			};
		},
		noteEnded(call, hostId, stage) {
			const sighting = {
				fingerprint: fingerprintOf(requestOf(call)), address: hostId, atMs: nowMs(), stage,
			};
			take([sighting]);
			void tellAll(newsOf([sighting]));
		},
		noteCompleted(call) {
			if (isKnown(call)) {
				clearRequest(ledger, {fingerprint: fingerprintOf(requestOf(call)), atMs: nowMs()}, nowMs());
			}
		},
		hear({sightings, condemned, clearances}) {
			const now = nowMs();
			for (const {fingerprint, ageMs} of clearances) {
				clearRequest(ledger, {fingerprint: fingerprint as RequestFingerprint, atMs: now - ageMs}, now);
			}

			take(sightings.map(sighting => decodeSighting(sighting, now)), new Set(condemned as RequestFingerprint[]));
		},
		close() {
			clearInterval(timer);
		},
	};
};
