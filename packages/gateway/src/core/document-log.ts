import {randomInt} from 'node:crypto';
import {
	hasDisk, hasLeaderLease, hostOfMember, quorumHeardAtMs, type Clock,
} from '@bitternpaddle/coordination';
import {
	createConsensusDriver, createLogProposals, createPeerSender, createVoterRepair, handOver, repairMs, type ConsensusDriver, type VoterRepair,
} from '@bitternpaddle/daemon/consensus';
import type {ConsensusEnvelope} from '@bitternpaddle/protocol';
import {
	applyDocument, createDocumentState, createMemoryLogStore, decodeDocumentState, encodeDocumentState, openLogStore,
	type Document, type DocumentOutcome, type DocumentState, type LogEntry, type LogStore,
} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import {openCoreIdentity} from './core-identity.js';

export type DocumentLogOptions = {
	readonly selfAddress: string;
	/** `null`: the host has no disk, and keeps the log in memory as a learner. */
	readonly folder: string | null;
	readonly isFirstStart: boolean;
	seeds(): readonly string[];
	/** Other core hosts that are known, seeds included. */
	otherAddresses(): string[];
	readonly voterCount: number;
	readonly clock: Clock;
	readonly logger: Logger;
	/** The documents changed, or whether this host may answer for them. */
	onChange(): void;
};

/** The replicated log of documents, as one core host holds it. */
export type DocumentLog = {
	state(): DocumentState;
	isLeader(): boolean;
	/** Address of the leader, if there is another one. */
	leaderAddress(): string | null;
	/** Addresses of the hosts in the log's membership. */
	memberAddresses(): string[];
	/** Of these, the ones that keep the log on a disk. */
	diskAddresses(): string[];
	/** Puts a document in order; rejects if this host does not lead or no majority confirms in time. */
	propose(document: Document): Promise<DocumentOutcome>;
	/** Resolves once a majority has confirmed that this host still leads and holds all that was acknowledged. */
	confirm(): Promise<void>;
	/** How long ago this host surely held all that was acknowledged; `null` if it never did. */
	freshAgeMs(): number | null;
	receive(envelope: ConsensusEnvelope): void;
	hearStandby(memberId: string): void;
	/** Hands the leadership over. */
	leave(): Promise<void>;
	close(): Promise<void>;
};

/** Entries behind which the log is replaced by a snapshot: each may hold a whole configuration, and the disk is small. */
const snapshotEntries = 64;
const segmentBytes = 4 * 1024 * 1024;
/** How soon a member that is silent is replaced, if another host stands by: a restart takes less, and while none stands by nothing is changed. */
const replaceAfterMs = 1500;
const proposalTimeoutMs = 2500;
/** How often a disk that refused a write is tried again. */
const reopenMs = 500;

type Opened = {readonly driver: ConsensusDriver; readonly repair: VoterRepair; readonly store: LogStore};

const noopPayload: LogEntry['payload'] = {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}};

export const createDocumentLog = async (options: DocumentLogOptions): Promise<DocumentLog> => {
	const {
		selfAddress, folder, isFirstStart, seeds, otherAddresses, voterCount, clock, logger, onChange,
	} = options;
	const send = createPeerSender({addressOf: memberId => hostOfMember(memberId), isPacked: true});
	let state = createDocumentState();
	let appliedIndex = 0;
	let appliedTerm = 0;
	let leadingSinceMs = 0;
	let opened: Opened | null = null;
	let isClosed = false;
	let reopening: NodeJS.Timeout | null = null;

	const proposals = createLogProposals<DocumentOutcome>({
		timeoutMs: proposalTimeoutMs,
		append: payload => opened === null ? {type: 'rejected', reason: 'notLeader'} : opened.driver.propose(payload),
	});

	const onCommit = (entry: LogEntry): void => {
		let outcome: DocumentOutcome = 'known';
		if (entry.payload.type === 'document') {
			const applied = applyDocument(state, entry.payload.document);
			({state, outcome} = applied);
		}

		appliedIndex = entry.index;
		appliedTerm = entry.term;
		proposals.settle(entry, outcome);
		if (outcome === 'stored') {
			onChange();
		}

		compactWhenLong();
	};

	const compactWhenLong = (): void => {
		const driver = opened?.driver;
		if (driver !== undefined && appliedIndex - (driver.state.snapshot?.index ?? 0) >= snapshotEntries) {
			driver.compact({index: appliedIndex, term: appliedTerm, state: encodeDocumentState(state)});
			logger.event('BP1003', {index: appliedIndex});
		}
	};

	/**
	 * A disk that is full or fails must not end the process: it hears endpoints
	 * and answers followers without it. It gives up its part in the log, and
	 * takes it up again from what is on the disk once that takes writes.
	 */
	const onFailure = (error: Error): void => {
		logger.event('BP4010', {reason: error.message});
		const failed = opened;
		opened = null;
		onChange();
		void failed?.driver.close().catch(() => undefined);
		scheduleReopen();
	};

	const scheduleReopen = (): void => {
		if (!isClosed && reopening === null) {
			reopening = setTimeout(() => {
				reopening = null;
				void open().catch(onFailure);
			}, reopenMs);
		}
	};

	const open = async (): Promise<void> => {
		const identity = await openCoreIdentity({
			selfAddress, folder, isFirstStart, seeds: seeds(),
		});
		const store = folder === null ? createMemoryLogStore() : await openLogStore({folder, segmentBytes});
		if (store.loaded.cutBytes > 0) {
			logger.event('BP1002', {cutBytes: store.loaded.cutBytes});
		}

		const {snapshot} = store.loaded;
		state = snapshot === null ? createDocumentState() : decodeDocumentState(snapshot.state);
		appliedIndex = snapshot?.index ?? 0;
		appliedTerm = snapshot?.term ?? 0;
		const driver = createConsensusDriver({
			selfId: identity.memberId, initialMembers: identity.initialMembers, store, seed: randomInt(1, 2_147_483_647), nowMs: clock.nowMs,
			send, onCommit, onFailure,
			onSnapshot(installed) {
				state = decodeDocumentState(installed.state);
				appliedIndex = installed.index;
				appliedTerm = installed.term;
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
			driver, voterCount, replaceAfterMs, logger, otherAddresses, leadingSinceMs: () => leadingSinceMs, nowMs: clock.nowMs,
			identity: {memberId: identity.memberId, formation: () => ({diskId: '', accepted: null, isFormed: true}), adoptFromLog: async () => undefined},
		});
		opened = {driver, repair, store};
		logger.event('BP4011', {memberId: identity.memberId, voters: driver.state.members.voters.join(',')});
	};

	await open().catch(onFailure);
	const repairing = setInterval(() => {
		opened?.repair.run();
	}, repairMs);

	const members = (): string[] => {
		const {voters, learners} = opened?.driver.state.members ?? {voters: [], learners: []};
		return [...voters, ...learners];
	};

	const addressesOf = (memberIds: readonly string[]): string[] => [...new Set(memberIds.map(member => hostOfMember(member)))];

	const isLeader = (): boolean => opened !== null && hasLeaderLease(opened.driver.state, clock.nowMs());

	return {
		state: () => state,
		isLeader,
		leaderAddress() {
			const leaderId = opened?.driver.state.leaderId ?? null;
			const address = leaderId === null ? null : hostOfMember(leaderId);
			return address === selfAddress ? null : address;
		},
		memberAddresses: () => addressesOf(members()),
		diskAddresses: () => addressesOf(members().filter(member => hasDisk(member))),
		propose: async document => proposals.propose({type: 'document', document}),
		async confirm() {
			await proposals.propose(noopPayload);
		},
		freshAgeMs() {
			if (opened === null) {
				return null;
			}

			const nowMs = clock.nowMs();
			const {state: consensus} = opened.driver;
			if (consensus.role === 'leader') {
				return hasLeaderLease(consensus, nowMs) ? Math.max(0, nowMs - quorumHeardAtMs(consensus, nowMs)) : null;
			}

			const ageMs = nowMs - consensus.contactAtMs;
			return consensus.leaderId !== null && Number.isFinite(ageMs) ? Math.max(0, ageMs) : null;
		},
		receive(envelope) {
			opened?.driver.receive(envelope);
		},
		hearStandby(memberId) {
			opened?.repair.hear(memberId);
		},
		async leave() {
			if (opened !== null) {
				await handOver({driver: opened.driver});
			}
		},
		async close() {
			isClosed = true;
			clearInterval(repairing);
			clearTimeout(reopening ?? undefined);
			await opened?.driver.close();
		},
	};
};
