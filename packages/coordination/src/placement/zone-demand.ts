import {
	arrivalsPerSecond, createArrivalRate, recordArrivals, type ArrivalRate,
} from './arrival-rate.js';

/**
 * How the requests of a service spread over zones, if each is sent to all endpoints alike that it
 * may be sent to. The zones that an entry actually sends to would not show this: it prefers its
 * own zone, and the entries of other zones prefer theirs.
 */
export type ZoneDemand = Map<string, ArrivalRate>;

type Endpoint = {readonly announcement: {readonly zoneId: string}};

const zonesOf = (endpoints: readonly Endpoint[]): Set<string> => new Set(endpoints.map(({announcement: {zoneId}}) => zoneId));

export const createZoneDemand = (): ZoneDemand => new Map();

/** Records a request that may be sent to each of the endpoints. */
export const recordZoneDemand = (demand: ZoneDemand, permitted: readonly Endpoint[], nowMs: number): void => {
	for (const {announcement: {zoneId}} of permitted) {
		const rate = demand.get(zoneId) ?? createArrivalRate();
		demand.set(zoneId, rate);
		recordArrivals(rate, 1 / permitted.length, nowMs);
	}
};

/** The share of the service's requests that the zones of the endpoints receive; 1 if none were recorded. */
export const zoneDemandShare = (demand: ZoneDemand, permitted: readonly Endpoint[], nowMs: number): number => {
	const zoneIds = zonesOf(permitted);
	let total = 0;
	let sum = 0;
	for (const [zoneId, rate] of demand) {
		const perSecond = arrivalsPerSecond(rate, nowMs);
		total += perSecond;
		sum += zoneIds.has(zoneId) ? perSecond : 0;
	}

	return total === 0 ? 1 : sum / total;
};
