import {
	hasDisk, hostOfMember, quorumOf, toleratedLosses, toleratesLosses, type ConsensusState, type LossTolerance, type VoterPlace,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';

export type VoterMonitorOptions = {
	readonly required: LossTolerance;
	/** `null` while the log is not open. */
	consensus(): ConsensusState | null;
	/** Zone and region of a core host; `null` if unknown. */
	placeOf(address: string): VoterPlace | null;
	readonly logger: Logger;
	readonly metrics: Pick<GatewayMetrics, 'gauge'>;
	/** By the clock of the consensus. */
	nowMs(): number;
};

/** Reports whether the voters of the core log tolerate the required losses, and whether a majority of them can be reached. */
export type VoterMonitor = {
	/** Records that a member sent a message to this host. */
	recordMessage(memberId: string): void;
	/** Records that a core host announced itself under this id, which no leader knows. */
	recordStandby(memberId: string): void;
	/** Must be called several times a second. */
	check(): void;
};

/** Time for which a shortage must last before it is logged: members are added one after the other after a start. */
const shortageLogDelayMs = 3000;
/** Time without a leader after which this is logged; an election takes 600 to 1,200 ms. */
const electionLogDelayMs = 3000;
/** A voter that has sent no message for this long counts as silent. */
const silentAfterMs = 2000;

const isSameHost = (a: string, b: string): boolean => hostOfMember(a) === hostOfMember(b);

export const createVoterMonitor = (options: VoterMonitorOptions): VoterMonitor => {
	const {required, consensus, placeOf, logger, metrics, nowMs: now} = options;
	const messageAtMs = new Map<string, number>();
	const standbyAtMs = new Map<string, number>();
	let shortageSinceMs: number | null = null;
	let leaderlessSinceMs: number | null = null;
	let loggedShortage: string | null = null;
	let loggedSilence: string | null = null;

	const voters = (): readonly string[] => consensus()?.members.voters ?? [];

	/** A voter at an unknown place is taken as the only one of its zone and region. */
	const placesOf = (members: readonly string[]): VoterPlace[] => members.map(member => placeOf(hostOfMember(member)) ?? {zoneId: hostOfMember(member), regionId: hostOfMember(member)});

	metrics.gauge('core_voters', 'Voters of the core log known to this host.', () => voters().length);
	metrics.gauge('core_tolerated_losses', 'Number of these voters that may be lost at the same time.', () => toleratedLosses(placesOf(voters())).hosts);
	metrics.gauge('core_required_losses', 'Number of core hosts whose loss must be tolerated.', () => required.hosts);
	metrics.gauge('core_log_open', '1 while this host can write its log, 0 otherwise.', () => consensus() === null ? 0 : 1);
	metrics.gauge('core_has_leader', '1 while this host knows a leader of the core log, 0 otherwise.', () => consensus()?.leaderId ? 1 : 0);

	const checkTolerance = (state: ConsensusState, nowMs: number): void => {
		if (state.role !== 'leader') {
			shortageSinceMs = null;
			loggedShortage = null;
			return;
		}

		const places = placesOf(state.members.voters);
		if (toleratesLosses(places, required)) {
			shortageSinceMs = null;
			if (loggedShortage !== '') {
				loggedShortage = '';
				logger.event('BP4068', {voters: places.length, required});
			}

			return;
		}

		shortageSinceMs ??= nowMs;
		const tolerated = toleratedLosses(places);
		const text = JSON.stringify([places.length, tolerated]);
		if (nowMs - shortageSinceMs >= shortageLogDelayMs && loggedShortage !== text) {
			loggedShortage = text;
			const {voters, learners} = state.members;
			logger.event('BP4067', {
				voters: voters.map(voter => hostOfMember(voter)).join(','), hostsWithDisk: [...voters, ...learners].filter(member => hasDisk(member)).length, tolerated, required,
			});
		}
	};

	const checkMajority = (state: ConsensusState, nowMs: number): void => {
		if (state.leaderId !== null || state.members.voters.length === 0) {
			leaderlessSinceMs = null;
			loggedSilence = null;
			return;
		}

		leaderlessSinceMs ??= nowMs;
		if (nowMs - leaderlessSinceMs < electionLogDelayMs) {
			return;
		}

		const others = state.members.voters.filter(voter => voter !== state.selfId);
		const silent = others.filter(voter => nowMs - (messageAtMs.get(voter) ?? Number.NEGATIVE_INFINITY) > silentAfterMs);
		const replaced = silent.filter(voter => [...standbyAtMs].some(([standby, atMs]) => standby !== voter && isSameHost(standby, voter) && nowMs - atMs <= silentAfterMs));
		const text = JSON.stringify([silent, replaced]);
		if (loggedSilence !== text) {
			loggedSilence = text;
			logger.event('BP4069', {
				voters: state.members.voters.length, needed: quorumOf(state.members), silent: silent.map(voter => hostOfMember(voter)).join(','),
				withOtherDisk: replaced.map(voter => hostOfMember(voter)).join(','),
			});
		}
	};

	return {
		recordMessage(memberId) {
			messageAtMs.set(memberId, now());
		},
		recordStandby(memberId) {
			standbyAtMs.set(memberId, now());
		},
		check() {
			const state = consensus();
			if (state === null) {
				return;
			}

			const nowMs = now();
			checkTolerance(state, nowMs);
			checkMajority(state, nowMs);
		},
	};
};
