import type {Random} from '../utils/random.js';
import type {
	Endpoint, EndpointGroup, EndpointIndex, RouteTarget,
} from './endpoint-index.js';

/** An entry's own view of its endpoints. */
export type RouterState = {
	index: EndpointIndex;
	/** This entry's requests in flight, by host. */
	readonly inFlight: Map<string, number>;
	readonly random: Random;
};

export type RouterOptions = {readonly random: Random};

export const createRouter = ({random}: RouterOptions): RouterState => ({
	index: {revision: 0, models: new Map(), services: new Map()},
	inFlight: new Map(),
	random,
});

export type Choice
	= | {readonly type: 'chosen'; readonly endpoint: Endpoint}
		| {readonly type: 'unknownTarget'}
		| {readonly type: 'noEndpoint'};

export type ChooseOptions = {
	readonly target: RouteTarget;
	/** Hosts that this request has tried already. */
	readonly tried: ReadonlySet<string>;
};

/**
 * Picks an endpoint: first a fleet by its share of the traffic, then of two
 * random endpoints the one with fewer requests for its capacity.
 */
export const chooseEndpoint = (state: RouterState, {target, tried}: ChooseOptions): Choice => {
	const candidates = candidatesFor(state, target);
	if (candidates === null) {
		return {type: 'unknownTarget'};
	}

	const untried = tried.size === 0 ? candidates : candidates.filter(endpoint => !tried.has(endpoint.hostId));
	if (untried.length === 0) {
		return {type: 'noEndpoint'};
	}

	const first = untried[state.random.between(0, untried.length - 1)]!;
	const second = untried[state.random.between(0, untried.length - 1)]!;
	return {type: 'chosen', endpoint: loadOf(state, first) <= loadOf(state, second) ? first : second};
};

const candidatesFor = (state: RouterState, target: RouteTarget): readonly Endpoint[] | null => {
	if (target.type === 'service') {
		return state.index.services.get(target.serviceId) ?? null;
	}

	const groups = state.index.models.get(target.modelId);
	return groups === undefined ? null : pickGroup(state, groups);
};

const pickGroup = (state: RouterState, groups: readonly EndpointGroup[]): readonly Endpoint[] => {
	const usable = groups.filter(group => group.endpoints.length > 0);
	const total = usable.reduce((sum, group) => sum + group.percent, 0);
	if (total === 0) {
		return [];
	}

	let draw = state.random.between(0, Math.ceil(total * 100) - 1) / 100;
	for (const group of usable) {
		draw -= group.percent;
		if (draw < 0) {
			return group.endpoints;
		}
	}

	return usable.at(-1)!.endpoints;
};

const loadOf = (state: RouterState, endpoint: Endpoint): number => (state.inFlight.get(endpoint.hostId) ?? 0) / endpoint.capacity;

export const noteStart = (state: RouterState, hostId: string): void => {
	state.inFlight.set(hostId, (state.inFlight.get(hostId) ?? 0) + 1);
};

export const noteEnd = (state: RouterState, hostId: string): void => {
	const left = (state.inFlight.get(hostId) ?? 1) - 1;
	if (left <= 0) {
		state.inFlight.delete(hostId);
	} else {
		state.inFlight.set(hostId, left);
	}
};
