import TinyQueue from 'tinyqueue';
import type {QueuedRequest} from './types.js';

/** Requests of one team that are queued for one target. */
export type TeamQueue = {
	readonly teamId: string;
	weight: number;
	readonly items: TinyQueue<QueuedRequest>;
	/** Number of waiting requests; `items` may also contain cancelled ones. */
	count: number;
	cost: number;
	/** Virtual start time of the next request and virtual finish time of the last one. */
	startTag: number;
	finishTag: number;
	/** Cost of requests that were charged and then returned to the queue. */
	credit: number;
	isActive: boolean;
};

/**
 * Start-time fair queueing over the teams that wait for one target: the waiting
 * team that has received the least service relative to its weight goes next, so
 * a team's burst only delays that team. Cost O(log teams + log requests).
 */
export type FairQueue = {
	readonly teams: Map<string, TeamQueue>;
	readonly activeTeams: TinyQueue<TeamQueue>;
	virtualTime: number;
	lastFinishTag: number;
	/** Sum of the weights of all waiting teams. */
	waitingWeight: number;
	count: number;
	cost: number;
};

export const createFairQueue = (): FairQueue => ({
	teams: new Map(), activeTeams: new TinyQueue<TeamQueue>([], (a, b) => a.startTag - b.startTag),
	virtualTime: 0, lastFinishTag: 0, waitingWeight: 0, count: 0, cost: 0,
});

export const teamQueueOf = (queue: FairQueue, teamId: string, weight: number): TeamQueue => {
	let team = queue.teams.get(teamId);
	if (team === undefined) {
		team = {
			teamId, weight, items: new TinyQueue<QueuedRequest>([], (a, b) => a.rank - b.rank), count: 0, cost: 0, startTag: 0, finishTag: 0, credit: 0, isActive: false,
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
	adjustCounts(queue, team, item, 1);
	activateTeam(queue, team);
};

const activateTeam = (queue: FairQueue, team: TeamQueue): void => {
	if (team.isActive) {
		return;
	}

	team.startTag = Math.max(queue.virtualTime, team.finishTag);
	team.isActive = true;
	queue.activeTeams.push(team);
};

/** Updates the totals when a request starts (1) or stops (-1) waiting. */
const adjustCounts = (queue: FairQueue, team: TeamQueue, {request}: QueuedRequest, sign: 1 | -1): void => {
	const wasWaiting = team.count > 0;
	team.count += sign;
	team.cost += sign * request.cost;
	queue.count += sign;
	queue.cost += sign * request.cost;
	if (wasWaiting !== (team.count > 0)) {
		queue.waitingWeight += sign * team.weight;
	}
};

/** The next request in fair order, or `null`. */
export const popRequest = (queue: FairQueue): QueuedRequest | null => {
	for (;;) {
		const team = queue.activeTeams.pop();
		if (team === undefined) {
			// The busy period is over: a team that was served more than others during it starts the next one without a debt.
			queue.virtualTime = queue.lastFinishTag;
			return null;
		}

		team.isActive = false;
		const item = popWaiting(team);
		if (item !== null) {
			chargeTeam(queue, team, item);
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

const chargeTeam = (queue: FairQueue, team: TeamQueue, item: QueuedRequest): void => {
	item.state = 'taken';
	adjustCounts(queue, team, item, -1);
	queue.virtualTime = Math.max(queue.virtualTime, team.startTag);
	const charge = Math.max(0, item.request.cost - team.credit);
	team.credit = Math.max(0, team.credit - item.request.cost);
	team.finishTag = team.startTag + (charge / team.weight);
	queue.lastFinishTag = Math.max(queue.lastFinishTag, team.finishTag);
	if (team.count > 0) {
		activateTeam(queue, team);
	}
};

/** Requeues a dequeued request that no endpoint could take; it is not charged twice. */
export const returnRequest = (queue: FairQueue, team: TeamQueue, item: QueuedRequest): void => {
	item.state = 'waiting';
	team.credit += item.request.cost;
	pushRequest(queue, team, item);
};

/** Removes a waiting request; its heap entry is skipped later. */
export const dropRequest = (queue: FairQueue, item: QueuedRequest): void => {
	const team = queue.teams.get(item.request.teamId)!;
	item.state = 'gone';
	adjustCounts(queue, team, item, -1);
	if (team.items.length > 32 && team.items.length > 2 * team.count) {
		compact(team);
	}
};

/** Removes cancelled entries from the heap; otherwise cancellations while nothing is served would grow memory without bound. */
const compact = (team: TeamQueue): void => {
	const waiting = team.items.data.filter(item => item.state === 'waiting');
	team.items.data = waiting.toSorted((a, b) => a.rank - b.rank);
	team.items.length = waiting.length;
};

/** A team's waiting requests in the order in which they would be dequeued. */
export const waitingInOrder = (team: TeamQueue): QueuedRequest[] => team.items.data
	.filter(item => item.state === 'waiting')
	.toSorted((a, b) => a.rank - b.rank);
