/** A request as admission sees it. */
export type AdmissionRequest = {
	readonly requestId: string;
	readonly teamId: string;
	/** What it asks for, as one key: the queue that it waits in. */
	readonly target: string;
	/** Expected tokens of prompt and answer; 1 or more. */
	readonly cost: number;
	/** 0 is the most urgent. Orders a team's own requests; it never goes before another team's share. */
	readonly priority: number;
	readonly deadlineAtMs: number;
	/** What must have happened by the deadline: a stream need only begin. @default 'end' */
	readonly deadlineFor?: 'begin' | 'end';
};

export type RefusalReason = 'teamLimit' | 'teamQueueFull' | 'targetQueueFull' | 'deadline';

/** Nothing of a refused request has run. */
export type AdmissionRefusal = {
	readonly type: 'refused';
	readonly requestId: string;
	readonly reason: RefusalReason;
	/** When another try has a chance, as computed from limit and queue. */
	readonly retryAfterMs: number;
};

export type OfferResult = {readonly type: 'queued'} | AdmissionRefusal;

/** A request in a queue, or running after it. */
export type QueuedRequest = {
	readonly request: AdmissionRequest;
	/** Place within the team: arrival, later by a step for each level of priority. */
	readonly rank: number;
	state: 'waiting' | 'taken' | 'gone';
	readonly offeredAtMs: number;
	takenAtMs: number;
};
