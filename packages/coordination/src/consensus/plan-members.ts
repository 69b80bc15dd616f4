import type {Members} from '@bitternpaddle/state';
import {hasLeaderLease} from './lease.js';
import {membersIndexInLog} from './log.js';
import {hasDisk, hostOfMember} from './member-id.js';
import type {ConsensusState} from './types.js';

export type PlanMembersOptions = {
	readonly state: ConsensusState;
	/** Control hosts that said lately that they aren't members, with the clock when each was heard. */
	readonly standbys: ReadonlyMap<string, number>;
	/** How many voters there should be. */
	readonly voterCount: number;
	/** Since when this host leads; members get the whole bound to answer a new leader. */
	readonly leadingSinceMs: number;
	readonly nowMs: number;
	/** A voter that is silent for longer than a restart takes is replaced. @default 15000 */
	readonly replaceAfterMs?: number;
};

type View = Required<PlanMembersOptions> & {readonly members: Members; readonly liveStandbys: readonly string[]};

const standbyHeardMs = 3000;
/** A learner counts as live while it answers within this. */
const learnerAnswerMs = 1000;
/** A learner may lack this many committed entries when it is made a voter: one message's worth. */
const caughtUpEntries = 512;
/** A learner is forgotten after this many times the bound for voters: it costs little to keep. */
const learnerLossFactor = 4;

/**
 * The next change of members, or `null`. One at a time: a silent voter's
 * replacement is added first, and the silent one removed next, so that while
 * there are four, a voter that returns still counts. One that can't return,
 * since its disk is lost, is removed first (see
 * docs/design/0011-replace-a-voter.md).
 */
export const planMembers = (options: PlanMembersOptions): Members | null => {
	const {state, nowMs, standbys, replaceAfterMs = 15_000} = options;
	if (!hasLeaderLease(state, nowMs) || membersIndexInLog(state) > state.commitIndex) {
		return null;
	}

	const {members} = state;
	const liveStandbys = [...standbys]
		.filter(([id, heardAtMs]) => nowMs - heardAtMs < standbyHeardMs && !members.voters.includes(id))
		.map(([id]) => id)
		.toSorted();
	const view: View = {
		...options, replaceAfterMs, members, liveStandbys,
	};
	return removeSurplus(view) ?? removeGone(view) ?? promoteLearner(view) ?? changeLearners(view);
};

const answeredAtMs = ({state}: View, member: string): number => state.peers.get(member)?.answeredSentAtMs ?? Number.NEGATIVE_INFINITY;

const matchIndexOf = ({state}: View, member: string): number => state.peers.get(member)?.matchIndex ?? 0;

const silentMs = (view: View, member: string): number => view.nowMs - Math.max(answeredAtMs(view, member), view.leadingSinceMs);

/** A silent member whose host is heard under another id has lost its disk: it won't return. */
const hasLostDisk = (view: View, member: string): boolean => silentMs(view, member) > learnerAnswerMs
	&& [...view.liveStandbys, ...view.members.learners, ...view.members.voters].some(other => other !== member
		&& hostOfMember(other) === hostOfMember(member)
		&& (view.liveStandbys.includes(other) || view.nowMs - answeredAtMs(view, other) < learnerAnswerMs));

const isLost = (view: View, member: string): boolean => member !== view.state.selfId
	&& (silentMs(view, member) > view.replaceAfterMs || hasLostDisk(view, member));

/** Removes the voter that is least missed: a lost one before a live one, then the one furthest behind. */
const removeSurplus = (view: View): Members | null => {
	const {members, voterCount, state} = view;
	if (members.voters.length <= voterCount) {
		return null;
	}

	const removable = members.voters.filter(voter => voter !== state.selfId);
	const [removed] = removable.toSorted((a, b) => Number(isLost(view, b)) - Number(isLost(view, a))
		|| answeredAtMs(view, a) - answeredAtMs(view, b)
		|| matchIndexOf(view, a) - matchIndexOf(view, b));
	const learners = isLost(view, removed!) ? members.learners : [...members.learners, removed!];
	return {voters: members.voters.filter(voter => voter !== removed), learners};
};

/**
 * Removes a voter that is gone for good before another is added. It never
 * votes again, so the others can lose no less without it than with it. Were its
 * replacement added first and lost before that is committed, two of four would
 * be gone and nothing accepted any more.
 */
const removeGone = (view: View): Members | null => {
	const {members, state} = view;
	const gone = members.voters.find(voter => voter !== state.selfId && hasLostDisk(view, voter));
	return gone === undefined ? null : {voters: members.voters.filter(voter => voter !== gone), learners: members.learners};
};

/**
 * Makes a learner a voter where one is missing or lost. A host without a disk
 * stays a learner: once it restarts, an entry that it was counted for would be
 * on fewer disks than a quorum.
 */
const promoteLearner = (view: View): Members | null => {
	const {members, voterCount, state, nowMs} = view;
	const isNeeded = members.voters.length < voterCount || members.voters.some(voter => isLost(view, voter));
	if (!isNeeded) {
		return null;
	}

	const [added] = members.learners
		.filter(learner => hasDisk(learner) && nowMs - answeredAtMs(view, learner) < learnerAnswerMs && state.commitIndex - matchIndexOf(view, learner) <= caughtUpEntries)
		.toSorted((a, b) => matchIndexOf(view, b) - matchIndexOf(view, a) || (a < b ? -1 : 1));
	return added === undefined
		? null
		: {voters: [...members.voters, added], learners: members.learners.filter(learner => learner !== added)};
};

/** Takes in who stands by, and lets go of learners that are gone. */
const changeLearners = (view: View): Members | null => {
	const {
		members, liveStandbys, replaceAfterMs, standbys, nowMs,
	} = view;
	const added = liveStandbys.filter(id => !members.learners.includes(id));
	// Counted from its last announcement if that is newer: a host that was taken in a moment ago has had no time to answer.
	const isInTime = (learner: string): boolean => Math.min(silentMs(view, learner), nowMs - (standbys.get(learner) ?? Number.NEGATIVE_INFINITY)) <= learnerLossFactor * replaceAfterMs;
	const kept = members.learners.filter(learner => isInTime(learner) && !hasLostDisk(view, learner));
	return added.length === 0 && kept.length === members.learners.length
		? null
		: {voters: members.voters, learners: [...kept, ...added]};
};
