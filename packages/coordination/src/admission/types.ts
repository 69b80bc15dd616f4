/** A request as seen by admission control. */
export type AdmissionRequest = {
	readonly requestId: string;
	readonly teamId: string;
	/** Key of the requested model or service; it selects the queue. */
	readonly target: string;
	/** Expected tokens of prompt and answer; at least 1. */
	readonly cost: number;
	/** 0 is the most urgent. Orders only the team's own requests and never takes from another team's share. */
	readonly priority: number;
	readonly deadlineAtMs: number;
	/** What must have happened by the deadline; a stream only has to begin. @default 'end' */
	readonly deadlineFor?: 'begin' | 'end';
};

export type RefusalReason = 'teamLimit' | 'teamQueueFull' | 'targetQueueFull' | 'deadline';

/** No part of a refused request has run. */
export type AdmissionRefusal = {
	readonly type: 'refused';
	readonly requestId: string;
	readonly reason: RefusalReason;
	/** When a retry is expected to succeed, computed from the limit and the queue. */
	readonly retryAfterMs: number;
};

export type OfferResult = {readonly type: 'queued'} | AdmissionRefusal;

/** A request that is queued, or running after it was dequeued. */
export type QueuedRequest = {
	readonly request: AdmissionRequest;
	/** Sort key within the team: arrival time plus one step for each priority level. */
	readonly rank: number;
	state: 'waiting' | 'taken' | 'gone';
	readonly enqueuedAtMs: number;
	dispatchedAtMs: number;
};
