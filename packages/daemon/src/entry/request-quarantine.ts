import {
	attributeToPart, clearancesToRepeat, clearRequest, createCrashLedger, fingerprintOf, isEmpty, isFreshRun, mayHaveRecords, outlineOf, pruneLedger, sightingsToRepeat, addSightings, shortDigestIn,
	verdictOn,
	type AnswerStage, type CrashSighting, type FingerprintedRequest, type PartVerdict, type RequestFingerprint, type Verdict,
} from '@bitternpaddle/coordination';
import type {EntryCrashesParameters} from '@bitternpaddle/protocol';
import type {Logger, Metrics} from '@bitternpaddle/transport';
import {RefusedError, type Call} from './call.js';
import {createPartQuarantine} from './part-quarantine.js';
import {targetNameOf} from './target-names.js';

/** What entries report to each other about requests that endpoints had when they exited. */
export type CrashUpdate = Omit<EntryCrashesParameters, 'token'>;

export type RequestQuarantineOptions = {
	/** By which other entries know who saw an exit. */
	readonly entryId: string;
	/** Addresses of the other entries. */
	listPeers(): Promise<readonly string[]>;
	/** Sends an update to one other entry; rejects if it cannot be reached. */
	send(address: string, update: CrashUpdate): Promise<void>;
	readonly logger: Logger;
	readonly metrics?: Metrics;
	/** Interval at which records are resent to a random peer, since an entry may have been unreachable or may have restarted. @default 1000 */
	readonly repeatIntervalMs?: number;
};

/** Why a call is not sent: it, or a message in it, crashes endpoints. */
export type QuarantineVerdict = Verdict | PartVerdict;

/** Keeps requests that crash the endpoints that run them away from all other endpoints, at every entry. */
export type RequestQuarantine = {
	/** The verdict because of which a call must not be sent to an endpoint; `null` if it may be sent. */
	verdictOn(call: Call): QuarantineVerdict | null;
	/** Calls `stop` if a verdict on the call is reached while it is in progress; returns a function that ends the watch. */
	watch(call: Call, stop: () => void): () => void;
	/** Records that an endpoint's process exited while it had the call. */
	recordEndpointExit(call: Call, hostId: string, stage: AnswerStage, answeringMs: number): void;
	/** Records that an endpoint answered the call completely. */
	recordCompletion(call: Call, status: number): void;
	/** Processes another entry's update. */
	receive(update: CrashUpdate): void;
	close(): void;
};

/** Maximum records in one message to another entry, which accepts 16 KiB; the next message continues with the remaining ones. */
const maxRepeatedRecords = 32;

/** The error for a caller whose call is quarantined. */
export const refusalOf = (verdict: QuarantineVerdict): RefusedError => new RefusedError({
	status: 400, type: 'invalid_request',
	message: `${verdict.evidence.length} endpoints exited while they had ${'parts' in verdict ? 'requests with one of these messages' : 'this request'}; it is not sent to any other for now`,
});

const requestOf = (call: Call): FingerprintedRequest => ({
	method: call.method, host: targetNameOf(call.target), path: call.path, teamName: call.teamId, body: call.body,
});

const decodeSighting = ({fingerprint, address, ageMs, stage}: CrashUpdate['sightings'][number], nowMs: number): CrashSighting => ({
	fingerprint: fingerprint as RequestFingerprint, address, atMs: nowMs - ageMs, stage,
});

export const createRequestQuarantine = ({entryId, listPeers, send, logger, metrics, repeatIntervalMs = 1000}: RequestQuarantineOptions): RequestQuarantine => {
	const ledger = createCrashLedger();
	const watched = new Map<Call, () => void>();
	let nextRepeatIndex = 0;
	const nowMs = (): number => performance.now();

	const updateOf = (sightings: readonly CrashSighting[]): CrashUpdate => {
		const now = nowMs();
		const ageMs = (atMs: number): number => Math.max(0, Math.round(now - atMs));
		return {
			sightings: sightings.map(({fingerprint, address, atMs, stage}) => ({
				fingerprint, address, ageMs: ageMs(atMs), stage,
			})),
			condemned: [...new Set(sightings.map(({fingerprint}) => fingerprint))].filter(fingerprint => ledger.verdicts.has(fingerprint)),
			clearances: clearancesToRepeat(ledger, now).slice(-maxRepeatedRecords).map(({fingerprint, atMs}) => ({fingerprint, ageMs: ageMs(atMs)})),
		};
	};

	const sendTo = async (address: string, update: CrashUpdate): Promise<void> => {
		try {
			await send(address, update);
		} catch {
			// The update is resent later, or sent by another entry.
		}
	};

	const sendToAll = async (update: CrashUpdate): Promise<void> => {
		try {
			await Promise.all((await listPeers()).map(async address => sendTo(address, update)));
		} catch {
			// Without a list of entries there is no recipient yet.
		}
	};

	const partQuarantine = createPartQuarantine({
		entryId, logger, metrics, nowMs,
		sendToAll(parts) {
			void sendToAll({...updateOf([]), parts});
		},
		onVerdict() {
			stopQuarantinedCalls();
		},
		onExplained(exits) {
			attributeToPart(ledger, exits);
		},
	});

	const repeatToRandomPeer = async (): Promise<void> => {
		pruneLedger(ledger, nowMs());
		const all = sightingsToRepeat(ledger, nowMs());
		nextRepeatIndex = nextRepeatIndex < all.length ? nextRepeatIndex : 0;
		const sightings = all.slice(nextRepeatIndex, nextRepeatIndex + maxRepeatedRecords);
		nextRepeatIndex += sightings.length;
		const parts = partQuarantine.newsToRepeat();
		if (sightings.length === 0 && parts === null) {
			return;
		}

		try {
			const peers = await listPeers();
			const peer = peers[Math.floor(Math.random() * peers.length)];
			if (peer !== undefined) {
				await Promise.all([sendTo(peer, updateOf(sightings)), parts === null ? null : sendTo(peer, {...updateOf([]), parts})]);
			}
		} catch {
			// A later repetition may obtain a list of entries.
		}
	};

	const recordAndReport = (sightings: readonly CrashSighting[], quarantinedElsewhere?: ReadonlySet<RequestFingerprint>): void => {
		const {verdicts} = addSightings(ledger, sightings, nowMs(), quarantinedElsewhere);
		for (const {fingerprint, evidence, untilMs} of verdicts) {
			logger.event('BP2004', {
				fingerprint, hosts: evidence.map(({address}) => address), agesMs: evidence.map(({atMs}) => Math.round(nowMs() - atMs)), untilMs: Math.round(untilMs - nowMs()),
			});
			metrics?.increment('entry.quarantined', {});
		}

		if (verdicts.length > 0) {
			stopQuarantinedCalls();
		}
	};

	const mayHaveVerdict = (call: Call): boolean => !isEmpty(ledger) && mayHaveRecords(ledger, outlineOf(requestOf(call)));
	const verdictOf = (call: Call): QuarantineVerdict | null =>
		(mayHaveVerdict(call) ? verdictOn(ledger, fingerprintOf(requestOf(call)), nowMs()) : null) ?? partQuarantine.verdictOn(call.promptParts);

	const stopQuarantinedCalls = (): void => {
		for (const [call, stop] of watched) {
			if (verdictOf(call) !== null) {
				stop();
			}
		}
	};

	const timer = setInterval(() => {
		void repeatToRandomPeer();
	}, repeatIntervalMs);
	timer.unref();
	return {
		verdictOn: verdictOf,
		watch(call, stop) {
			watched.set(call, stop);
			return () => {
				watched.delete(call);
			};
		},
		recordEndpointExit(call, hostId, stage, answeringMs) {
			const sighting = {
				fingerprint: fingerprintOf(requestOf(call)), address: hostId, atMs: nowMs(), stage,
			};
			recordAndReport([sighting]);
			void sendToAll(updateOf([sighting]));
			partQuarantine.recordEndpointExit({
				address: hostId, atMs: sighting.atMs, request: shortDigestIn(sighting.fingerprint), parts: call.promptParts(), isFresh: isFreshRun(answeringMs),
			});
		},
		recordCompletion(call, status) {
			if (status < 300) {
				partQuarantine.recordCompletion(call.promptParts);
			}

			if (mayHaveVerdict(call)) {
				clearRequest(ledger, {fingerprint: fingerprintOf(requestOf(call)), atMs: nowMs()}, nowMs());
			}
		},
		receive({sightings, condemned, clearances, parts}) {
			const now = nowMs();
			for (const {fingerprint, ageMs} of clearances) {
				clearRequest(ledger, {fingerprint: fingerprint as RequestFingerprint, atMs: now - ageMs}, now);
			}

			recordAndReport(sightings.map(sighting => decodeSighting(sighting, now)), new Set(condemned as RequestFingerprint[]));
			if (parts !== undefined) {
				partQuarantine.receive(parts);
			}
		},
		close() {
			clearInterval(timer);
			partQuarantine.close();
		},
	};
};
