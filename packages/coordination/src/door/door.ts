/**
 * Decides at the agent whether a request may start on the endpoint. A request
 * id starts at most once; a settled id that had not started is barred, so that
 * "not run" stays true when the request itself arrives late.
 */
export type DoorState = {
	readonly requests: Map<string, DoorRecord>;
	/** Ids in order of arrival; the oldest finished ones are forgotten first. */
	readonly order: string[];
	readonly capacity: number;
	readonly keptRecords: number;
	running: number;
	isClosing: boolean;
};

export type DoorRecord = 'running' | 'ran' | 'notRun';

export type DoorOptions = {
	readonly capacity: number;
	/** Finished requests that can still be asked about. @default 10000 */
	readonly keptRecords?: number;
};

export const createDoor = ({capacity, keptRecords = 10_000}: DoorOptions): DoorState => ({
	requests: new Map(), order: [], capacity, keptRecords, running: 0, isClosing: false,
});

export type Admission
	= | {readonly type: 'start'}
		| {readonly type: 'refuse'; readonly reason: 'duplicate' | 'barred' | 'closing' | 'full'};

export const admitAtDoor = (state: DoorState, requestId: string): Admission => {
	const record = state.requests.get(requestId);
	if (record !== undefined) {
		return {type: 'refuse', reason: record === 'notRun' ? 'barred' : 'duplicate'};
	}

	if (state.isClosing) {
		return {type: 'refuse', reason: 'closing'};
	}

	if (state.running >= state.capacity) {
		return {type: 'refuse', reason: 'full'};
	}

	state.running++;
	remember(state, requestId, 'running');
	return {type: 'start'};
};

/** Ends a started request; `ran` unless the endpoint proved that it never began. */
export const finishAtDoor = (state: DoorState, requestId: string, outcome: 'ran' | 'notRun'): void => {
	state.running--;
	state.requests.set(requestId, outcome);
};

/** Tells what became of a request, and bars it for good if it has not started. */
export const settleAtDoor = (state: DoorState, requestId: string): DoorRecord => {
	const record = state.requests.get(requestId);
	if (record !== undefined) {
		return record;
	}

	remember(state, requestId, 'notRun');
	return 'notRun';
};

const remember = (state: DoorState, requestId: string, record: DoorRecord): void => {
	state.requests.set(requestId, record);
	state.order.push(requestId);
	while (state.order.length > state.keptRecords && state.requests.get(state.order[0]!) !== 'running') {
		state.requests.delete(state.order.shift()!);
	}
};
