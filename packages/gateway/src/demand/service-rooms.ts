import {
	createArrivalRate, createPriorityDemand, createRetryPromises, effectivePriority, hasCompetition, prioritiesByService, recordArrival, recordDemand, requestWorkMs,
	type ArrivalRate, type DemandSource, type NextStep, type PriorityDemand, type RoomView,
} from '@bitternpaddle/coordination';
import type {RoutingConfiguration, Service} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import {createLazyMap} from '../entry/lazy-map.js';
import type {Call} from '../entry/gateway-call.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';

export type ServiceRoomsOptions = {
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** Whether capacity is allocated by priority. @default true */
	readonly isEnabled?: boolean;
	nowMs(): number;
};

/** The demand on the services whose requests can have more than one priority. */
export type ServiceRooms = {
	configure(configuration: RoutingConfiguration): void;
	/** `null` unless requests to routes of several priorities arrive here for the service, and it has engines. */
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

export const createServiceRooms = ({logger, metrics, isEnabled = true, nowMs}: ServiceRoomsOptions): ServiceRooms => {
	let priorities: ReadonlyMap<string, readonly number[]> = new Map();
	const demands = new Map<string, PriorityDemand>();
	const promises = createLazyMap(createRetryPromises);
	const competitions = new Map<string, Competition>();
	const arrivalsByRoutePriority = createLazyMap((): Map<number, ArrivalRate> => new Map());

	/** The demand on a service whose requests can have several priorities under the configuration in force. */
	const configuredRoomOf = ({name, engine}: Service): RoomView | null => {
		const servicePriorities = priorities.get(name);
		if (!isEnabled || engine === null || servicePriorities === undefined || servicePriorities.length < 2) {
			return null;
		}

		const demand = demands.get(name) ?? createPriorityDemand();
		demands.set(name, demand);
		return {priorities: servicePriorities, demand, promises: promises.of(name)};
	};

	const isCompeting = (serviceName: string): boolean => {
		const known = competitions.get(serviceName);
		const atMs = nowMs();
		if (known !== undefined && atMs - known.atMs < competitionIntervalMs) {
			return known.isCompeting;
		}

		const current = {atMs, isCompeting: hasCompetition(arrivalsByRoutePriority.of(serviceName), atMs)};
		competitions.set(serviceName, current);
		return current.isCompeting;
	};

	const roomOf = (service: Service): RoomView | null => {
		const room = configuredRoomOf(service);
		return room !== null && isCompeting(service.name) ? room : null;
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
		demands: () => new Map([...demands].filter(([name]) => isCompeting(name))),
		recordArrival(call) {
			const {service, route, promptTokens, answerTokenLimit, hasComeBack} = call;
			const room = configuredRoomOf(service);
			if (room !== null && !hasComeBack) {
				const arrivals = arrivalsByRoutePriority.of(service.name);
				const rate = arrivals.get(route.priority) ?? createArrivalRate();
				arrivals.set(route.priority, rate);
				recordArrival(rate, nowMs());
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
