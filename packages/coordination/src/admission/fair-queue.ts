import TinyQueue from 'tinyqueue';
import type {QueuedRequest} from './types.js';

/** What one team has waiting for one target. */
export type TeamQueue = {
	readonly teamId: string;
	weight: number;
	readonly items: TinyQueue<QueuedRequest>;
	/** Waiting requests; `items` may hold cancelled ones besides. */
	count: number;
	cost: number;
	/** Virtual time at which the next request starts, and the last one ended. */
	startTag: number;
	finishTag: number;
	/** Cost of requests that were charged and then came back. */
	credit: number;
	isListed: boolean;
};

/**
 * Start-time fair queueing over the teams that wait for one target: among
 * waiting teams the one that has had the least for its weight goes next. A
 * team's burst therefore waits behind itself. Cost O(log teams + log requests).
 */
export type FairQueue = {
	readonly teams: Map<string, TeamQueue>;
	readonly listed: TinyQueue<TeamQueue>;
	virtualTime: number;
	lastFinishTag: number;
	/** Sum of the weights of the teams that wait. */
	waitingWeight: number;
	count: number;
	cost: number;
};

export const createFairQueue = (): FairQueue => ({
	teams: new Map(), listed: new TinyQueue<TeamQueue>([], (a, b) => a.startTag - b.startTag),
	virtualTime: 0, lastFinishTag: 0, waitingWeight: 0, count: 0, cost: 0,
});

export const teamQueueOf = (queue: FairQueue, teamId: string, weight: number): TeamQueue => {
	let team = queue.teams.get(teamId);
	if (team === undefined) {
		team = {
			teamId, weight, items: new TinyQueue<QueuedRequest>([], (a, b) => a.rank - b.rank), count: 0, cost: 0, startTag: 0, finishTag: 0, credit: 0, isListed: false,
		};
		queue.teams.set(teamId, team);
	}

	if (team.count === 0) {
		team.weight = weight;
	}

	return team;
};

export const pushRequest = (queue: FairQueue, team: TeamQueue, item: QueuedRequest): void => {
	team.items.push(item);
	count(queue, team, item, 1);
	list(queue, team);
};

const list = (queue: FairQueue, team: TeamQueue): void => {
	if (team.isListed) {
		return;
	}

	team.startTag = Math.max(queue.virtualTime, team.finishTag);
	team.isListed = true;
	queue.listed.push(team);
};

/** Accounts for a request that waits (1) or no longer does (-1). */
const count = (queue: FairQueue, team: TeamQueue, {request}: QueuedRequest, sign: 1 | -1): void => {
	const had = team.count > 0;
	team.count += sign;
	team.cost += sign * request.cost;
	queue.count += sign;
	queue.cost += sign * request.cost;
	if (had !== (team.count > 0)) {
		queue.waitingWeight += sign * team.weight;
	}
};

/** The next request in fair order, or `null`. */
export const popRequest = (queue: FairQueue): QueuedRequest | null => {
	for (;;) {
		const team = queue.listed.pop();
		if (team === undefined) {
			// The busy period is over: who was served more than others in it owes nothing any more.
			queue.virtualTime = queue.lastFinishTag;
			return null;
		}

		team.isListed = false;
		const item = popWaiting(team);
		if (item !== null) {
			serve(queue, team, item);
			return item;
		}
	}
};

const popWaiting = (team: TeamQueue): QueuedRequest | null => {
	for (;;) {
		const item = team.items.pop();
		if (item === undefined) {
			return null;
		}

		if (item.state === 'waiting') {
			return item;
		}
	}
};

const serve = (queue: FairQueue, team: TeamQueue, item: QueuedRequest): void => {
	item.state = 'taken';
	count(queue, team, item, -1);
	queue.virtualTime = Math.max(queue.virtualTime, team.startTag);
	const charge = Math.max(0, item.request.cost - team.credit);
	team.credit = Math.max(0, team.credit - item.request.cost);
	team.finishTag = team.startTag + (charge / team.weight);
	queue.lastFinishTag = Math.max(queue.lastFinishTag, team.finishTag);
	if (team.count > 0) {
		list(queue, team);
	}
};

/** Puts a request back that was taken but could not be placed; it is not charged twice. */
export const returnRequest = (queue: FairQueue, team: TeamQueue, item: QueuedRequest): void => {
	item.state = 'waiting';
	team.credit += item.request.cost;
	pushRequest(queue, team, item);
};

/** Takes a waiting request out; its entry in the heap is skipped later. */
export const dropRequest = (queue: FairQueue, item: QueuedRequest): void => {
	const team = queue.teams.get(item.request.teamId)!;
	item.state = 'gone';
	count(queue, team, item, -1);
	if (team.items.length > 32 && team.items.length > 2 * team.count) {
		compact(team);
	}
};

/** Without this, callers that come and go while nothing is served would fill the memory. */
const compact = (team: TeamQueue): void => {
	const waiting = team.items.data.filter(item => item.state === 'waiting');
	team.items.data = waiting.toSorted((a, b) => a.rank - b.rank);
	team.items.length = waiting.length;
};

/** A team's waiting requests in the order in which they would go. */
export const waitingInOrder = (team: TeamQueue): QueuedRequest[] => team.items.data
	.filter(item => item.state === 'waiting')
	.toSorted((a, b) => a.rank - b.rank);
