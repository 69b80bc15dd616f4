import type {EngineProfile} from '@bitternpaddle/state';
import {randomFraction, type Random} from '../utils/random.js';
import {hasFreshReport, sentSinceReport} from './endpoint-load.js';
import {slotWaitMs, spareFirstTokenMs} from './engine-model.js';
import type {Candidate} from './place-request.js';
import type {RetryPromises} from './retry-promise.js';
import {
	groupKeysOf, priorityKey, totalDemand, totalKey, type DemandFigures, type DemandSource, type DemandTotals, type PriorityDemand,
} from './priority-demand.js';

/** An entry's view of the demand on a service whose requests have more than one priority. */
export type RoomView = {
	/** The priorities that requests can have under the configuration in force, most urgent first. */
	readonly priorities: readonly number[];
	readonly demand: PriorityDemand;
	/** The retry times that this entry has given to refused callers. */
	readonly promises: RetryPromises;
};

/**
 * Why a limit applies. `own`: its own objective alone. `urgent`: more urgent requests
 * lack capacity. `team`: its team requests more than its fair share. `minimum`: it
 * belongs to a group that is below its minimum share.
 */
export type RoomRule = 'own' | 'urgent' | 'team' | 'minimum';

/** The limit on the expected wait of a usual prompt within which a request is admitted, in addition to its own objective. */
export type RoomLimit = {
	readonly rule: RoomRule;
	readonly limitMs: number;
	/**
	 * The limit on a caller retry: that of first attempts of the next priority, which it goes
	 * before; 0 for the least urgent one, whose retries get only free slots.
	 */
	readonly retryLimitMs: number;
	/** Whether first attempts of its own or a more urgent priority are refused for load more often than short peaks explain. */
	readonly isOverloaded: boolean;
	/** Age of the oldest demand of another entry that was taken into account; `null` if only this entry's own was. */
	readonly demandAgeMs: number | null;
};

export type RoomRequest = DemandSource & {
	readonly profile: EngineProfile;
	/** The limit for the most urgent priority. */
	readonly topLimitMs: number;
	readonly random: Random;
	readonly nowMs: number;
};

/** Priorities with less than this share of all arrivals do not restrict the others: engines run their few requests first anyway. */
const significantShare = 0.05;
/** Share of refused first attempts beyond which engines do not carry the load apart from short peaks. */
const refusedShare = 0.05;
/** Share of first attempts without a free slot beyond which less urgent requests must leave slots free; a tenth stays well within the share that may be late. */
const lackingShare = 0.1;
/** The minimum served ratio of a group relative to that of all requests: a quarter, with a margin of half of it because rates are known late. */
const minimumRatio = 0.25 * 1.5;

const isSignificant = ({arrived}: DemandFigures, total: DemandFigures): boolean => arrived > significantShare * total.arrived;

const isRefused = ({arrived, refused}: DemandFigures): boolean => refused > refusedShare * arrived;

/** Whether engines cannot begin all requests of the priority at once. */
const lacksCapacity = (figures: DemandFigures): boolean => isRefused(figures) || figures.lacking > lackingShare * figures.arrived;

const isBelowMinimum = ({arrived, served}: DemandFigures, total: DemandFigures): boolean => served * total.arrived < minimumRatio * total.served * arrived;

/** The largest amount per team such that the teams' amounts, each at most what it requests, add up to `capacity`. */
export const fairShare = (requested: readonly number[], capacity: number): number => {
	let remaining = capacity;
	for (const [index, amount] of requested.toSorted((a, b) => a - b).entries()) {
		const equalPart = remaining / (requested.length - index);
		if (amount >= equalPart) {
			return equalPart;
		}

		remaining -= amount;
	}

	return Number.POSITIVE_INFINITY;
};

/**
 * Whether the request is part of what its team requests beyond its fair share of the
 * work that engines do for the priority. Such a part is drawn at random: a team
 * refused as a whole would get less than its share.
 */
const exceedsTeamShare = (totals: DemandTotals, {priority, teamName, random}: RoomRequest): boolean => {
	const figures = totals.figuresOf(priorityKey(priority));
	if (teamName === null || !isRefused(figures)) {
		return false;
	}

	const teams = totals.teamsOf(priority);
	const requested = teams.get(teamName)?.requestedWorkMs ?? 0;
	const shareMs = teams.size < 2 ? Number.POSITIVE_INFINITY : fairShare([...teams.values()].map(({requestedWorkMs}) => requestedWorkMs), figures.servedWorkMs);
	return requested > shareMs && randomFraction(random) >= shareMs / requested;
};

/**
 * Part of the time in which an engine's next slot becomes free, in addition to the time
 * to the first token at a free slot. Estimates include requests of other entries since
 * the reports, so that below this part a slot may still be free.
 */
const lackTurnShare = 0.75;

const turnMs = (profile: EngineProfile): number => slotWaitMs(profile, profile.slots);

/** The expected wait beyond which no engine has a free slot. */
export const lackMs = (profile: EngineProfile): number => spareFirstTokenMs(profile) + (lackTurnShare * turnMs(profile));

/** Decides within which expected wait a request is admitted. */
export const roomLimitOf = ({priorities, demand}: RoomView, request: RoomRequest): RoomLimit => {
	const {priority, profile, topLimitMs, nowMs} = request;
	const freeMs = spareFirstTokenMs(profile);
	const totals = totalDemand(demand, nowMs);
	const total = totals.figuresOf(totalKey);
	const figuresOf = (other: number): DemandFigures => totals.figuresOf(priorityKey(other));
	const isLacking = (other: number): boolean => isSignificant(figuresOf(other), total) && lacksCapacity(figuresOf(other));
	/** The limit that more urgent requests set; `null` if they have capacity. */
	const urgentLimitMs = (moreUrgent: readonly number[]): number | null => {
		const strictness = Math.min(1, moreUrgent.length / (priorities.length - 1));
		return moreUrgent.some(other => isLacking(other)) ? topLimitMs - (strictness * Math.max(0, topLimitMs - freeMs)) : null;
	};

	const upToOwn = priorities.filter(other => other <= priority);
	const common = {
		retryLimitMs: upToOwn.length < priorities.length ? urgentLimitMs(upToOwn) ?? topLimitMs : 0,
		isOverloaded: upToOwn.some(other => isSignificant(figuresOf(other), total) && isRefused(figuresOf(other))), demandAgeMs: totals.receivedAgeMs,
	};
	if (groupKeysOf(request, profile).some(key => isBelowMinimum(totals.figuresOf(key), total))) {
		return {rule: 'minimum', limitMs: topLimitMs, ...common};
	}

	if (exceedsTeamShare(totals, request)) {
		return {rule: 'team', limitMs: Math.min(freeMs, topLimitMs), ...common};
	}

	const limitMs = urgentLimitMs(priorities.filter(other => other < priority));
	return limitMs === null ? {rule: 'own', limitMs: Number.POSITIVE_INFINITY, ...common} : {rule: 'urgent', limitMs, ...common};
};

/**
 * The part of an engine's queue that starts before a request of the priority: engines
 * start the most urgent queued request first. Less urgent requests stay queued for
 * longer, so their real part of a queue is larger than their part of the requests sent.
 */
export const queuedAheadShare = ({priorities, demand}: RoomView, priority: number, nowMs: number): number => {
	const totals = totalDemand(demand, nowMs);
	const {served} = totals.figuresOf(totalKey);
	const servedAhead = priorities.filter(other => other <= priority).reduce((sum, other) => sum + totals.figuresOf(priorityKey(other)).served, 0);
	return served === 0 ? 1 : Math.min(1, servedAhead / served);
};

/** Share of the slots below which nothing is refused for load. */
const idleShare = 0.5;

const isServing = ({announcement: {state}, load}: Candidate, nowMs: number): boolean => state === 'ready' && !load.isLeaving && hasFreshReport(load, nowMs)
	&& load.wholeVersion !== null && !load.report!.isBusy;

/** Whether engines have so much free capacity that nothing may be refused for load. Requests that other entries have sent since the reports count as well. */
export const hasIdleEngines = (candidates: readonly Candidate[], othersPerSecond: number, nowMs: number): boolean => {
	const reported = candidates.filter(candidate => isServing(candidate, nowMs));
	if (reported.length === 0 || reported.some(({load: {report}}) => report!.queued > 0)) {
		return false;
	}

	const slots = reported.reduce((sum, {announcement}) => sum + announcement.slots, 0);
	const taken = reported.reduce((sum, {load}) => sum + Math.max(load.report!.running + sentSinceReport(load).length, load.outstanding), 0);
	const meanAgeMs = reported.reduce((sum, {load}) => sum + nowMs - load.reportedAtMs, 0) / reported.length;
	return taken + (othersPerSecond * meanAgeMs / 1000) < idleShare * slots;
};
