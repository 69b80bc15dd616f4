import type {Members} from '@bitternpaddle/state';
import {hasLeaderLease} from './lease.js';
import {entryBytes} from './entry-size.js';
import {entriesFrom, membersIndexInLog, snapshotIndexOf} from './log.js';
import {hasDisk, hostOfMember} from './member-id.js';
import type {ConsensusState} from './types.js';
import {
	excessVoters, requiredVoterCount, type LossTolerance, type VoterPlace,
} from './voter-group.js';

export type PlanMembersOptions = {
	readonly state: ConsensusState;
	/** Control hosts that announced that they are not members, with the time of the latest announcement. */
	readonly standbys: ReadonlyMap<string, number>;
	/** Least number of voters to aim for. */
	readonly voterCount: number;
	/** Since when this host leads; members get the full timeout to respond to a new leader. */
	readonly leadingSinceMs: number;
	readonly nowMs: number;
	/** A voter that is silent for this long is replaced; longer than a restart takes. @default 15000 */
	readonly replaceAfterMs?: number;
	/** Losses that the voters must tolerate; those of zones and regions may take more voters. @default none */
	readonly required?: LossTolerance;
	/** Place of a member; `null` if unknown, which is taken as a zone and region of its own. @default unknown */
	placeOf?(member: string): VoterPlace | null;
};

type PlanContext = Required<PlanMembersOptions> & {readonly members: Members; readonly liveStandbys: readonly string[]};

const standbyTimeoutMs = 3000;
/** A learner counts as live if its latest response is not older than this. */
const learnerResponseTimeoutMs = 1000;
/** Maximum number and size of the committed entries that a learner may lack when it is promoted to voter: as many as fit into one message. */
const maxLearnerLagEntries = 512;
const maxLearnerLagBytes = 1024 * 1024;
/** A learner is removed after this many times the timeout of voters, since keeping it costs little. */
const learnerLossFactor = 4;

/**
 * Returns the next change of members, or `null`. Changes are made one at a
 * time: a silent voter's replacement is added before the silent voter is
 * removed, so that while there are four voters, one that returns still counts.
 * A voter that cannot return because its disk is lost is removed first (see
 * docs/design/0011-replace-a-voter.md).
 */
export const planMembers = (options: PlanMembersOptions): Members | null => {
	const {
		state, nowMs, standbys, replaceAfterMs = 15_000, required = {hosts: 0, zones: 0, regions: 0}, placeOf = () => null,
	} = options;
	if (!hasLeaderLease(state, nowMs) || membersIndexInLog(state) > state.commitIndex) {
		return null;
	}

	const {members} = state;
	const liveStandbys = [...standbys]
		.filter(([id, announcedAtMs]) => nowMs - announcedAtMs < standbyTimeoutMs && !members.voters.includes(id))
		.map(([id]) => id)
		.toSorted();
	const context: PlanContext = {
		...options, replaceAfterMs, required, placeOf, members, liveStandbys,
	};
	return planNext({...context, voterCount: Math.max(options.voterCount, spreadVoterCount(context))});
};

const planNext = (context: PlanContext): Members | null => removeSurplusVoter(context) ?? removeVoterWithLostDisk(context) ?? promoteLearner(context) ?? updateLearners(context);

const lastResponseAtMs = ({state}: PlanContext, member: string): number => state.peers.get(member)?.acknowledgedSentAtMs ?? Number.NEGATIVE_INFINITY;

const matchIndexOf = ({state}: PlanContext, member: string): number => state.peers.get(member)?.matchIndex ?? 0;

const silentMs = (context: PlanContext, member: string): number => context.nowMs - Math.max(lastResponseAtMs(context, member), context.leadingSinceMs);

/** A silent member whose host is active under another id has lost its disk and cannot return. */
const hasLostDisk = (context: PlanContext, member: string): boolean => silentMs(context, member) > learnerResponseTimeoutMs
	&& [...context.liveStandbys, ...context.members.learners, ...context.members.voters].some(other => other !== member
		&& hostOfMember(other) === hostOfMember(member)
		&& (context.liveStandbys.includes(other) || context.nowMs - lastResponseAtMs(context, other) < learnerResponseTimeoutMs));

const isLost = (context: PlanContext, member: string): boolean => member !== context.state.selfId
	&& (silentMs(context, member) > context.replaceAfterMs || hasLostDisk(context, member));

const placesOf = ({placeOf}: PlanContext, members: readonly string[]): VoterPlace[] => members.map(member => placeOf(member) ?? {zoneId: member, regionId: member});

/** Number of voters that the losses of zones and regions take; 0 if none must be tolerated. */
const spreadVoterCount = (context: PlanContext): number => {
	const {required, members, nowMs} = context;
	if (required.zones === 0 && required.regions === 0) {
		return 0;
	}

	const learners = members.learners.filter(learner => hasDisk(learner) && nowMs - lastResponseAtMs(context, learner) < learnerResponseTimeoutMs);
	return requiredVoterCount(placesOf(context, [...members.voters.filter(voter => !isLost(context, voter)), ...learners]), required);
};

/** Number of voters too many in the zones and regions whose loss must be tolerated. */
const excessOf = (context: PlanContext, voters: readonly string[]): number => excessVoters(placesOf(context, voters), context.required, Math.floor((context.voterCount - 1) / 2));

const without = (members: readonly string[], removed: string): string[] => members.filter(member => member !== removed);

/** Removes a surplus voter: a lost one before a live one, then one in a zone with too many, then the one with the oldest response, then the one furthest behind. */
const removeSurplusVoter = (context: PlanContext): Members | null => {
	const {members, voterCount, state} = context;
	if (members.voters.length <= voterCount) {
		return null;
	}

	const removable = members.voters.filter(voter => voter !== state.selfId);
	const [removed] = removable.toSorted((a, b) => Number(isLost(context, b)) - Number(isLost(context, a))
		|| excessOf(context, without(members.voters, a)) - excessOf(context, without(members.voters, b))
		|| lastResponseAtMs(context, a) - lastResponseAtMs(context, b)
		|| matchIndexOf(context, a) - matchIndexOf(context, b));
	const learners = isLost(context, removed!) ? members.learners : [...members.learners, removed!];
	return {voters: without(members.voters, removed!), learners};
};

/**
 * Removes a voter that cannot return before its replacement is added. It never
 * votes again, so removing it does not reduce the fault tolerance. If its
 * replacement were added first and lost before that change is committed, two of
 * four voters would be lost and no more changes could be accepted.
 */
const removeVoterWithLostDisk = (context: PlanContext): Members | null => {
	const {members, state} = context;
	const lostVoter = members.voters.find(voter => voter !== state.selfId && hasLostDisk(context, voter));
	return lostVoter === undefined ? null : {voters: without(members.voters, lostVoter), learners: members.learners};
};

/**
 * Whether a learner lacks so little that commits do not have to wait for it once it is a
 * voter. A single entry may be larger than the limit.
 */
const isCaughtUp = ({state}: PlanContext, learner: string): boolean => {
	const matchIndex = state.peers.get(learner)?.matchIndex ?? 0;
	const snapshotBytes = matchIndex < snapshotIndexOf(state) ? state.snapshot!.state.length : 0;
	const lacking = entriesFrom(state, Math.max(matchIndex, snapshotIndexOf(state)) + 1, Number.POSITIVE_INFINITY).filter(({index}) => index <= state.commitIndex);
	const lackingBytes = lacking.length > 1 ? lacking.reduce((sum, entry) => sum + entryBytes(entry), 0) : 0;
	return state.commitIndex - matchIndex <= maxLearnerLagEntries && snapshotBytes + lackingBytes <= maxLearnerLagBytes;
};

/** Whether a learner in the place of a voter other than this host would leave fewer voters too many in a zone or region. */
const improvesSpread = (context: PlanContext, learner: string): boolean => {
	const {voters} = context.members;
	const excess = excessOf(context, voters);
	return excess > 0 && context.placeOf(learner) !== null && voters.some(voter => voter !== context.state.selfId && excessOf(context, [...without(voters, voter), learner]) < excess);
};

/**
 * Promotes a learner to voter if a voter is missing or lost, or in a zone or region with
 * too many. A host without a disk stays a learner: after its restart, an entry that it
 * was counted for would be on fewer disks than a quorum.
 */
const promoteLearner = (context: PlanContext): Members | null => {
	const {members, voterCount, nowMs} = context;
	const isShort = members.voters.length < voterCount || members.voters.some(voter => isLost(context, voter));
	const remaining = members.voters.filter(voter => !isLost(context, voter));
	const [added] = members.learners
		.filter(learner => hasDisk(learner) && nowMs - lastResponseAtMs(context, learner) < learnerResponseTimeoutMs && isCaughtUp(context, learner))
		.filter(learner => isShort || improvesSpread(context, learner))
		.toSorted((a, b) => excessOf(context, [...remaining, a]) - excessOf(context, [...remaining, b])
			|| matchIndexOf(context, b) - matchIndexOf(context, a)
			|| (a < b ? -1 : 1));
	return added === undefined
		? null
		: {voters: [...members.voters, added], learners: without(members.learners, added)};
};

/** Adds standby hosts as learners and removes lost learners. */
const updateLearners = (context: PlanContext): Members | null => {
	const {
		members, liveStandbys, replaceAfterMs, standbys, nowMs,
	} = context;
	const added = liveStandbys.filter(id => !members.learners.includes(id));
	// Measured from the learner's last announcement if that is newer, because a learner that was just added has had no time to respond.
	const isRetained = (learner: string): boolean => Math.min(silentMs(context, learner), nowMs - (standbys.get(learner) ?? Number.NEGATIVE_INFINITY)) <= learnerLossFactor * replaceAfterMs;
	const remaining = members.learners.filter(learner => isRetained(learner) && !hasLostDisk(context, learner));
	return added.length === 0 && remaining.length === members.learners.length
		? null
		: {voters: members.voters, learners: [...remaining, ...added]};
};
