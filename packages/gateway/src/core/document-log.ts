import {randomInt} from 'node:crypto';
import {
	hasDisk, hasLeaderLease, hostOfMember, quorumConfirmedAtMs, type Clock, type LossTolerance, type VoterPlace,
} from '@bitternpaddle/coordination';
import {
	createConsensusDriver, createLogProposals, createPeerSender, createVoterRepair, handOverLeadership, repairIntervalMs, type ConsensusDriver, type VoterRepair,
} from '@bitternpaddle/daemon/consensus';
import type {ConsensusEnvelope} from '@bitternpaddle/protocol';
import {
	applyDocument, createDocumentState, decodeDocumentState, encodeDocumentState, openLocked, openLogStore,
	type Document, type DocumentOutcome, type DocumentState, type FolderLock, type LogEntry, type LogStore,
} from '@bitternpaddle/state';
import {ignore, notifyRpc, type Logger} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {openCoreIdentity, type CoreIdentity} from './core-identity.js';
import {createVoterMonitor} from './voter-monitor.js';

export type DocumentLogOptions = {
	readonly selfAddress: string;
	readonly folder: string;
	readonly isFirstStart: boolean;
	seeds(): readonly string[];
	/** All other known core hosts, including seeds. */
	otherAddresses(): string[];
	readonly voterCount: number;
	/** Losses that the voters must tolerate. */
	readonly required: LossTolerance;
	/** Zone and region of a core host; `null` if unknown. */
	placeOf(address: string): VoterPlace | null;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<GatewayMetrics, 'gauge'>;
	/** Called when the documents change or when this host gains or loses the ability to serve them. */
	onChange(): void;
};

/** One core host's replica of the document log. */
export type DocumentLog = {
	state(): DocumentState;
	isLeader(): boolean;
	/** Address of the leader; `null` if there is none or this host leads. */
	leaderAddress(): string | null;
	/** Addresses of the hosts in the log's membership. */
	memberAddresses(): string[];
	/** Addresses of the members that store the log on disk. */
	diskAddresses(): string[];
	/** Appends a document to the log; rejects if this host does not lead or no majority confirms in time. */
	propose(document: Document): Promise<DocumentOutcome>;
	/** Resolves once a majority has confirmed that this host still leads and holds all acknowledged documents. */
	confirm(): Promise<void>;
	/** Whether this start is the first one of the whole system. */
	isFirstStart(): boolean;
	/** Number of voters, if this host is one of them; `null` if it is not, or does not participate. */
	voterCount(): number | null;
	/** Time since this host was last confirmed to hold all acknowledged documents; `null` if it never was. */
	freshAgeMs(): number | null;
	receive(envelope: ConsensusEnvelope): void;
	/** Records that a core host announced itself as not being a member. `isForwarded`: another member passed it on. */
	recordStandby(memberId: string, isForwarded: boolean): void;
	/** Transfers leadership to another member. */
	leave(): Promise<void>;
	close(): Promise<void>;
};

/** Number of entries after which the log is compacted into a snapshot. */
const snapshotEntries = 64;
/**
 * Size of the entries after which the log is compacted: each may hold a complete
 * configuration of up to 4 MB, and a disk of 64 MB holds the log and two snapshots.
 */
const snapshotBytes = 4 * 1024 * 1024;
/** Assumed size of an entry without a configuration, and of each departure in one. */
const smallEntryBytes = 200;
const segmentBytes = 4 * 1024 * 1024;
/** Time after which a silent member is replaced if a standby host is available: a restart takes less, and without a standby nothing changes. */
const replaceAfterMs = 1500;
const proposalTimeoutMs = 2500;
/** An announcement that takes longer is sent again by the host that it is from. */
const forwardTimeoutMs = 1000;
/** Delay before a disk that failed a write is tried again. */
const reopenDelayMs = 500;

type OpenData = {readonly identity: CoreIdentity; readonly store: LogStore; readonly lock: FolderLock};
type OpenLog = {readonly driver: ConsensusDriver; readonly repair: VoterRepair; readonly store: LogStore; close(): Promise<void>};

const documentBytes = (document: Document): number => match(document)
	.with({kind: 'configuration'}, ({text}) => text.length)
	.with({kind: 'departures'}, ({added, removed}) => smallEntryBytes * (1 + added.length + removed.length))
	.with({kind: 'version'}, {kind: 'evacuation'}, () => smallEntryBytes)
	.exhaustive();

const entryBytes = ({payload}: LogEntry): number => payload.type === 'document' ? documentBytes(payload.document) : smallEntryBytes;

const noopPayload: LogEntry['payload'] = {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}};

export const createDocumentLog = async (options: DocumentLogOptions): Promise<DocumentLog> => {
	const {
		selfAddress, folder, isFirstStart, seeds, otherAddresses, voterCount, required, placeOf, clock, logger, metrics, onChange,
	} = options;
	const peers = createPeerSender({
		addressOf: memberId => hostOfMember(memberId), isCompressed: true,
		onDrop(to, droppedBytes) {
			logger.event('BP1015', {member: hostOfMember(to), droppedBytes});
		},
	});
	let state = createDocumentState();
	let appliedIndex = 0;
	let appliedTerm = 0;
	/** Size of the applied entries since the last snapshot. */
	let appliedBytes = 0;
	let leadingSinceMs = 0;
	let openLog: OpenLog | null = null;
	let wasCreated = false;
	let isClosed = false;
	let reopenTimer: NodeJS.Timeout | null = null;

	const proposals = createLogProposals<DocumentOutcome>({
		timeoutMs: proposalTimeoutMs,
		append: payload => openLog === null ? {type: 'rejected', reason: 'notLeader'} : openLog.driver.propose(payload),
	});

	const monitor = createVoterMonitor({
		required, placeOf, logger, metrics, nowMs: clock.nowMs,
		consensus: () => openLog?.driver.state ?? null,
	});

	metrics.gauge('core_queued_bytes', 'Size of the messages that wait for the member with most of them.', peers.queuedBytes);
	metrics.gauge('core_largest_call_bytes', 'Size of the largest call to another member since the start.', peers.largestCallBytes);
	metrics.gauge('core_log_bytes', 'Size of the log entries since the last snapshot.', () => openLog?.driver.state.entries.reduce((sum, entry) => sum + entryBytes(entry), 0) ?? 0);
	metrics.gauge('core_snapshot_bytes', 'Size of the last snapshot.', () => openLog?.driver.state.snapshot?.state.length ?? 0);

	const onCommit = (entry: LogEntry): void => {
		let outcome: DocumentOutcome = 'known';
		if (entry.payload.type === 'document') {
			const applied = applyDocument(state, entry.payload.document);
			({state, outcome} = applied);
		}

		appliedIndex = entry.index;
		appliedTerm = entry.term;
		appliedBytes += entryBytes(entry);
		proposals.settle(entry, outcome);
		if (outcome === 'stored') {
			onChange();
		}

		compactIfLong();
	};

	const compactIfLong = (): void => {
		const driver = openLog?.driver;
		if (driver !== undefined && (appliedBytes >= snapshotBytes || appliedIndex - (driver.state.snapshot?.index ?? 0) >= snapshotEntries)) {
			appliedBytes = 0;
			driver.compact({index: appliedIndex, term: appliedTerm, state: encodeDocumentState(state)});
			logger.event('BP1003', {index: appliedIndex});
		}
	};

	/**
	 * A full or failing disk must not end the process, because it can still receive
	 * announcements and answer followers. The host stops participating in the log and
	 * resumes from the data on disk once writes succeed again.
	 */
	const onFailure = (error: Error): void => {
		logger.event('BP4010', {reason: error.message});
		const failed = openLog;
		openLog = null;
		onChange();
		void failed?.close().catch(() => undefined);
		scheduleReopen();
	};

	const scheduleReopen = (): void => {
		if (!isClosed && reopenTimer === null) {
			reopenTimer = setTimeout(() => {
				reopenTimer = null;
				void open().catch(onFailure);
			}, reopenDelayMs);
		}
	};

	const openData = async (): Promise<OpenData> => openLocked(folder, async lock => ({
		identity: await openCoreIdentity({
			selfAddress, folder, isFirstStart, seeds: seeds(),
		}),
		store: await openLogStore({folder, segmentBytes}), lock,
	}));

	const open = async (): Promise<void> => {
		const {identity, store, lock} = await openData();
		if (store.loaded.cutBytes > 0) {
			logger.event('BP1002', {cutBytes: store.loaded.cutBytes});
		}

		wasCreated ||= identity.isFirstStart;
		const {snapshot} = store.loaded;
		state = snapshot === null ? createDocumentState() : decodeDocumentState(snapshot.state);
		appliedIndex = snapshot?.index ?? 0;
		appliedTerm = snapshot?.term ?? 0;
		appliedBytes = 0;
		const driver = createConsensusDriver({
			selfId: identity.memberId, initialMembers: identity.initialMembers, store, seed: randomInt(1, 2_147_483_647), nowMs: clock.nowMs,
			send: peers.send, onCommit, onFailure,
			onSnapshot(installed) {
				state = decodeDocumentState(installed.state);
				appliedIndex = installed.index;
				appliedTerm = installed.term;
				appliedBytes = 0;
				onChange();
			},
			onRoleChange({role, term, leaderId}) {
				logger.event('BP1001', {role, term, leaderId});
				if (role === 'leader') {
					leadingSinceMs = clock.nowMs();
				}

				onChange();
			},
		});
		const repair = createVoterRepair({
			driver, voterCount, replaceAfterMs, required, placeOf: member => placeOf(hostOfMember(member)), logger, otherAddresses, leadingSinceMs: () => leadingSinceMs, nowMs: clock.nowMs,
			identity: {memberId: identity.memberId, formation: () => ({diskId: '', accepted: null, isFormed: true}), adoptFromLog: async () => undefined},
		});
		openLog = {
			driver, repair, store,
			async close() {
				try {
					await driver.close();
				} finally {
					await lock.release();
				}
			},
		};
		logger.event('BP4011', {memberId: identity.memberId, voters: driver.state.members.voters.join(',')});
	};

	await open().catch(onFailure);
	const repairTimer = setInterval(() => {
		openLog?.repair.run();
		monitor.check();
	}, repairIntervalMs);

	const memberIds = (): string[] => {
		const {voters, learners} = openLog?.driver.state.members ?? {voters: [], learners: []};
		return [...voters, ...learners];
	};

	const addressesOf = (memberIds: readonly string[]): string[] => [...new Set(memberIds.map(member => hostOfMember(member)))];

	const leaderAddress = (): string | null => {
		const leaderId = openLog?.driver.state.leaderId ?? null;
		const address = leaderId === null ? null : hostOfMember(leaderId);
		return address === selfAddress ? null : address;
	};

	const isLeader = (): boolean => openLog !== null && hasLeaderLease(openLog.driver.state, clock.nowMs());

	return {
		state: () => state,
		isLeader,
		leaderAddress,
		memberAddresses: () => addressesOf(memberIds()),
		diskAddresses: () => addressesOf(memberIds().filter(member => hasDisk(member))),
		propose: async document => proposals.propose({type: 'document', document}),
		async confirm() {
			await proposals.propose(noopPayload);
		},
		isFirstStart: () => wasCreated,
		voterCount() {
			const voters = openLog?.driver.state.members.voters ?? [];
			return openLog !== null && voters.includes(openLog.driver.state.selfId) ? voters.length : null;
		},
		freshAgeMs() {
			if (openLog === null) {
				return null;
			}

			const nowMs = clock.nowMs();
			const {state: consensus} = openLog.driver;
			if (consensus.role === 'leader') {
				return hasLeaderLease(consensus, nowMs) ? Math.max(0, nowMs - quorumConfirmedAtMs(consensus, nowMs)) : null;
			}

			const ageMs = nowMs - consensus.contactAtMs;
			return consensus.leaderId !== null && Number.isFinite(ageMs) ? Math.max(0, ageMs) : null;
		},
		receive(envelope) {
			monitor.recordMessage(envelope.from);
			openLog?.driver.receive(envelope);
		},
		recordStandby(memberId, isForwarded) {
			monitor.recordStandby(memberId);
			openLog?.repair.recordAnnouncement(memberId);
			const address = leaderAddress();
			if (address !== null && !isForwarded) {
				// The host repeats its announcement every second.
				notifyRpc({
					address, method: 'control.standby', params: {memberId, isForwarded: true}, timeoutMs: forwardTimeoutMs,
				}).catch(ignore);
			}
		},
		async leave() {
			if (openLog !== null) {
				await handOverLeadership({driver: openLog.driver});
			}
		},
		async close() {
			isClosed = true;
			clearInterval(repairTimer);
			clearTimeout(reopenTimer ?? undefined);
			await openLog?.close();
		},
	};
};
