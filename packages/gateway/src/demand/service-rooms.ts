import {
	createPriorityDemand, createRetryPromises, effectivePriority, hasCompetition, prioritiesByService, recordDemand, requestWorkMs, type DemandSource, type NextStep, type PriorityDemand, type RoomView,
} from '@bitternpaddle/coordination';
import type {RoutingConfiguration, Service} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import {createLazyMap} from '../entry/lazy-map.js';
import type {Call} from '../entry/gateway-call.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';

export type ServiceRoomsOptions = {
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	nowMs(): number;
};

/** The demand on the services whose requests can have more than one priority. */
export type ServiceRooms = {
	configure(configuration: RoutingConfiguration): void;
	/** `null` if the requests of the service that arrive here have one priority, or if it has no engines. */
	roomOf(service: Service): RoomView | null;
	/** The demand by service, for services whose requests have several priorities. */
	demands(): ReadonlyMap<string, PriorityDemand>;
	recordArrival(call: Call): void;
	/** Counts a decision on a request, and logs a refusal together with what decided. */
	recordStep(call: Call, step: NextStep): void;
};

/** The properties of a request by which capacity is allocated. */
export const demandSourceOf = ({route, team, promptTokens}: Call): DemandSource => ({
	priority: effectivePriority(route, team), teamName: team?.name ?? null, routeName: route.name, promptTokens,
});

/** Interval at which it is determined which services have competing requests; the rates of arrivals change within seconds. */
const competitionIntervalMs = 250;

type Competition = {readonly atMs: number; readonly isCompeting: boolean};

export const createServiceRooms = ({logger, metrics, nowMs}: ServiceRoomsOptions): ServiceRooms => {
	let priorities: ReadonlyMap<string, readonly number[]> = new Map();
	const demands = new Map<string, PriorityDemand>();
	const promises = createLazyMap(createRetryPromises);
	const competitions = new Map<string, Competition>();

	/** The demand on a service whose requests can have several priorities under the configuration in force. */
	const configuredRoomOf = ({name, engine}: Service): RoomView | null => {
		const servicePriorities = priorities.get(name);
		if (engine === null || servicePriorities === undefined || servicePriorities.length < 2) {
			return null;
		}

		const demand = demands.get(name) ?? createPriorityDemand();
		demands.set(name, demand);
		return {priorities: servicePriorities, demand, promises: promises.of(name)};
	};

	const isCompeting = (serviceName: string, {demand, priorities: servicePriorities}: Pick<RoomView, 'demand' | 'priorities'>): boolean => {
		const known = competitions.get(serviceName);
		const atMs = nowMs();
		if (known !== undefined && atMs - known.atMs < competitionIntervalMs) {
			return known.isCompeting;
		}

		const current = {atMs, isCompeting: hasCompetition(demand, servicePriorities, atMs)};
		competitions.set(serviceName, current);
		return current.isCompeting;
	};

	const roomOf = (service: Service): RoomView | null => {
		const room = configuredRoomOf(service);
		return room !== null && isCompeting(service.name, room) ? room : null;
	};

	return {
		configure(configuration) {
			priorities = prioritiesByService(configuration);
			const services = new Map(configuration.services.map(service => [service.name, service]));
			for (const name of demands.keys()) {
				if (!services.has(name)) {
					demands.delete(name);
				}
			}

			// Demand of other entries is recorded from the start, before the first request arrives here.
			for (const service of services.values()) {
				configuredRoomOf(service);
			}
		},
		roomOf,
		demands: () => new Map([...demands].filter(([name, demand]) => isCompeting(name, {priorities: priorities.get(name) ?? [], demand}))),
		recordArrival(call) {
			const {service, promptTokens, answerTokenLimit, hasComeBack} = call;
			const room = configuredRoomOf(service);
			if (room !== null && !hasComeBack) {
				const work = requestWorkMs(service.engine!, {promptTokens, maxAnswerTokens: answerTokenLimit});
				recordDemand(room.demand, {source: demandSourceOf(call), profile: service.engine!, nowMs: nowMs()}, work);
			}
		},
		recordStep({requestId, route, team, service}, step) {
			if (step.type === 'wait' || roomOf(service) === null) {
				return;
			}

			const priority = effectivePriority(route, team);
			metrics.allocation(service.name, priority, step.type);
			if (step.type === 'refuse' && step.allocation) {
				const {rule, limitMs, expectedMs, demandAgeMs} = step.allocation;
				logger.event('BP4059', {
					requestId, priority, team: team?.name ?? null, rule, limitMs: Number.isFinite(limitMs) ? Math.round(limitMs) : null, expectedMs: Math.round(expectedMs),
					demandAgeMs: demandAgeMs === null ? null : Math.round(demandAgeMs),
				});
			}
		},
	};
};
