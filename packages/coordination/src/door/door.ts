/**
 * Decides at the agent whether a request may start on the endpoint. An attempt
 * id starts at most once; a settled id that had not started is barred, so that
 * "not run" stays true when the request itself arrives late.
 */
export type DoorState = {
	readonly records: Map<string, DoorEntry>;
	/** Ids that have ended, in the order of their end; the oldest are forgotten first. */
	readonly ended: string[];
	/** For each sender the highest sequence that was forgotten. */
	readonly horizons: Map<string, number>;
	readonly capacity: number;
	readonly keptRecords: number;
	readonly keptSenders: number;
	/** Of this agent; grows with every start. */
	readonly incarnation: number;
	running: number;
	isClosing: boolean;
};

export type DoorRecord = 'running' | 'ran' | 'notRun';

type DoorEntry = {readonly issue: DoorIssue; readonly record: DoorRecord};

/** Which of one sending process's requests this is. */
export type DoorIssue = {readonly sender: string; readonly sequence: number};

/** A request as the door knows it. */
export type DoorRequest = {readonly attemptId: string; readonly incarnation: number; readonly issue: DoorIssue};

export type DoorOptions = {
	readonly capacity: number;
	readonly incarnation: number;
	/** Ended requests that can still be asked about. @default 10000 */
	readonly keptRecords?: number;
	/** Senders whose horizon is kept. @default 1024 */
	readonly keptSenders?: number;
};

export const createDoor = ({capacity, incarnation, keptRecords = 10_000, keptSenders = 1024}: DoorOptions): DoorState => ({
	records: new Map(), ended: [], horizons: new Map(), capacity, incarnation, keptRecords, keptSenders, running: 0, isClosing: false,
});

export type DoorRefusal = 'duplicate' | 'forgotten' | 'barred' | 'otherIncarnation' | 'closing' | 'full';

export type Admission
	= | {readonly type: 'start'}
		| {readonly type: 'refuse'; readonly reason: DoorRefusal};

export const admitAtDoor = (state: DoorState, request: DoorRequest): Admission => {
	const {attemptId, incarnation, issue} = request;
	if (incarnation !== state.incarnation) {
		return {type: 'refuse', reason: 'otherIncarnation'};
	}

	const known = state.records.get(attemptId);
	if (known !== undefined) {
		return {type: 'refuse', reason: known.record === 'notRun' ? 'barred' : 'duplicate'};
	}

	// A bar may be among what was forgotten. Without this, a request that was
	// settled as "not run" and arrives after its bar was dropped would start.
	if (isForgotten(state, issue)) {
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

/** Ends a started request; `ran` unless the endpoint proved that it never began. */
export const finishAtDoor = (state: DoorState, attemptId: string, outcome: 'ran' | 'notRun'): void => {
	const entry = state.records.get(attemptId);
	if (entry?.record !== 'running') {
		return;
	}

	state.running--;
	state.records.set(attemptId, {...entry, record: outcome});
	rememberEnded(state, attemptId);
};

/**
 * Tells what became of a request, and bars it for good if it has not started.
 * A door of another incarnation, or one that has forgotten, cannot tell: the
 * request may have started where nobody remembers it.
 */
export const settleAtDoor = (state: DoorState, {attemptId, incarnation, issue}: DoorRequest): DoorRecord | 'unknown' => {
	if (incarnation !== state.incarnation) {
		return 'unknown';
	}

	const known = state.records.get(attemptId);
	if (known !== undefined) {
		return known.record;
	}

	if (isForgotten(state, issue)) {
		return 'unknown';
	}

	state.records.set(attemptId, {issue, record: 'notRun'});
	rememberEnded(state, attemptId);
	return 'notRun';
};

const isForgotten = ({horizons}: DoorState, {sender, sequence}: DoorIssue): boolean => sequence <= (horizons.get(sender) ?? -1);

const rememberEnded = (state: DoorState, attemptId: string): void => {
	state.ended.push(attemptId);
	while (state.ended.length > state.keptRecords) {
		forget(state, state.ended.shift()!);
	}
};

const forget = ({records, horizons, keptSenders}: DoorState, attemptId: string): void => {
	const {sender, sequence} = records.get(attemptId)!.issue;
	records.delete(attemptId);
	const horizon = Math.max(sequence, horizons.get(sender) ?? -1);
	// Set anew, so that the map's order is that of last use. A sender is a
	// process: after so many others its own connections are long gone.
	horizons.delete(sender);
	horizons.set(sender, horizon);
	if (horizons.size > keptSenders) {
		const [oldest] = horizons.keys();
		horizons.delete(oldest!);
	}
};
