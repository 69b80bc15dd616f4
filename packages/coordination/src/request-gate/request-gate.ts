/**
 * Decides at the agent whether a request may start on the endpoint. An attempt
 * id starts at most once. An id that is resolved before it has started is barred,
 * so that "not run" stays true if the request itself arrives late.
 */
export type RequestGate = {
	readonly records: Map<string, GateEntry>;
	/** Ids of ended requests in the order of their end; the oldest are evicted first. */
	readonly ended: string[];
	/** Highest evicted sequence number of each sender. */
	readonly highestForgotten: Map<string, number>;
	readonly capacity: number;
	readonly maxRetainedRecords: number;
	readonly maxRetainedSenders: number;
	/** Incarnation of this agent; increases with every start. */
	readonly incarnation: number;
	running: number;
	isClosing: boolean;
};

export type GateRecord = 'running' | 'ran' | 'notRun';

type GateEntry = {readonly issue: GateIssue; readonly record: GateRecord};

/** Identifies a request among those of one sending process. */
export type GateIssue = {readonly sender: string; readonly sequence: number};

/** A request as identified by the gate. */
export type GateRequest = {readonly attemptId: string; readonly incarnation: number; readonly issue: GateIssue};

export type RequestGateOptions = {
	readonly capacity: number;
	readonly incarnation: number;
	/** Maximum number of ended requests whose records are retained. @default 10000 */
	readonly maxRetainedRecords?: number;
	/** Maximum number of senders whose highest evicted sequence number is retained. @default 1024 */
	readonly maxRetainedSenders?: number;
};

export const createRequestGate = ({capacity, incarnation, maxRetainedRecords = 10_000, maxRetainedSenders = 1024}: RequestGateOptions): RequestGate => ({
	records: new Map(), ended: [], highestForgotten: new Map(), capacity, incarnation, maxRetainedRecords, maxRetainedSenders, running: 0, isClosing: false,
});

export type GateRefusal = 'duplicate' | 'forgotten' | 'barred' | 'otherIncarnation' | 'closing' | 'full';

export type GateDecision
	= | {readonly type: 'start'}
		| {readonly type: 'refuse'; readonly reason: GateRefusal};

export const admitAtGate = (state: RequestGate, request: GateRequest): GateDecision => {
	const {attemptId, incarnation, issue} = request;
	if (incarnation !== state.incarnation) {
		return {type: 'refuse', reason: 'otherIncarnation'};
	}

	const entry = state.records.get(attemptId);
	if (entry !== undefined) {
		return {type: 'refuse', reason: entry.record === 'notRun' ? 'barred' : 'duplicate'};
	}

	// The evicted records may include a bar. Without this check, a request that was
	// resolved as "not run" and arrives after its bar was evicted would start.
	if (isEvicted(state, issue)) {
		return {type: 'refuse', reason: 'forgotten'};
	}

	if (state.isClosing) {
		return {type: 'refuse', reason: 'closing'};
	}

	if (state.running >= state.capacity) {
		return {type: 'refuse', reason: 'full'};
	}

	state.running++;
	state.records.set(attemptId, {issue, record: 'running'});
	return {type: 'start'};
};

/** Records the end of a started request; `ran` unless the endpoint proved that it never began. */
export const finishAtGate = (state: RequestGate, attemptId: string, outcome: 'ran' | 'notRun'): void => {
	const entry = state.records.get(attemptId);
	if (entry?.record !== 'running') {
		return;
	}

	state.running--;
	state.records.set(attemptId, {...entry, record: outcome});
	recordEnded(state, attemptId);
};

/**
 * Returns what became of a request and bars it permanently if it has not started.
 * A gate of another incarnation, or one that has evicted the record, returns
 * `unknown`: the request may have started without any remaining record of it.
 */
export const resolveAtGate = (state: RequestGate, {attemptId, incarnation, issue}: GateRequest): GateRecord | 'unknown' => {
	if (incarnation !== state.incarnation) {
		return 'unknown';
	}

	const entry = state.records.get(attemptId);
	if (entry !== undefined) {
		return entry.record;
	}

	if (isEvicted(state, issue)) {
		return 'unknown';
	}

	state.records.set(attemptId, {issue, record: 'notRun'});
	recordEnded(state, attemptId);
	return 'notRun';
};

const isEvicted = ({highestForgotten}: RequestGate, {sender, sequence}: GateIssue): boolean => sequence <= (highestForgotten.get(sender) ?? -1);

const recordEnded = (state: RequestGate, attemptId: string): void => {
	state.ended.push(attemptId);
	while (state.ended.length > state.maxRetainedRecords) {
		evictRecord(state, state.ended.shift()!);
	}
};

const evictRecord = ({records, highestForgotten, maxRetainedSenders}: RequestGate, attemptId: string): void => {
	const {sender, sequence} = records.get(attemptId)!.issue;
	records.delete(attemptId);
	const highestSequence = Math.max(sequence, highestForgotten.get(sender) ?? -1);
	// Delete and reinsert, so that the map is ordered by last use. A sender is a
	// process; once it is the oldest of this many senders, its connections are long closed.
	highestForgotten.delete(sender);
	highestForgotten.set(sender, highestSequence);
	if (highestForgotten.size > maxRetainedSenders) {
		const [oldest] = highestForgotten.keys();
		highestForgotten.delete(oldest!);
	}
};
