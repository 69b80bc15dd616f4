/** An entry and where it is. */
export type ZonedAddress = {readonly address: string; readonly zoneId: string};

/** Whom an entry passes reports on to; both empty where others do it. */
export type RelayPlan = {
	/** Of each other zone one entry, which is sent the digest of the own zone. */
	readonly farAddresses: readonly string[];
	/** The others of the own zone, which are passed the digests of other zones. */
	readonly nearAddresses: readonly string[];
	/** Whether those hear of the own zone's engines from here, and not from the agents themselves. */
	readonly passesNear: boolean;
};

/**
 * Entries of a zone that pass on its reports, each to a relay of its own in every
 * other zone. With one, the engines of its zone would look silent to all others
 * while it stands still, for the two seconds until it is left out.
 */
export const relaysPerZone = 2;

/**
 * With so many entries each agent tells all of them by itself: what they know is a
 * tenth of a second fresher than by relays, and costs little.
 */
const mostDirect = 12;
/** So many entries beside it an agent tells by itself also in a larger fleet; where there are more, it tells the relays. */
const mostTold = 3;

/** `all`: every entry hears of every second report or more. `relayed`: the agent tells a few, which pass it on. */
export type ReportRoutes = {readonly type: 'all' | 'relayed'; /** Told of every report. */ readonly near: readonly string[]};

/** Whom an agent tells. */
export const reportRoutes = (zoneId: string, entries: readonly ZonedAddress[]): ReportRoutes => {
	const near = entries.filter(entry => entry.zoneId === zoneId).map(({address}) => address).toSorted();
	if (entries.length <= mostDirect || near.length < relaysPerZone) {
		return {type: 'all', near};
	}

	return {type: 'relayed', near: near.length > mostTold ? near.slice(0, relaysPerZone) : near};
};

export const noRelay: RelayPlan = {farAddresses: [], nearAddresses: [], passesNear: false};

/**
 * The relays of a zone are the first of its entries by address: everybody finds
 * the same ones without asking. The first one of a zone sends to the first ones of
 * the others, the second to the second ones, so that a loss ends one of the two ways only.
 * Where there are few entries, or a zone has fewer than that, agents tell all of them themselves, and there are no relays.
 */
export const planRelay = (self: ZonedAddress, entries: readonly ZonedAddress[]): RelayPlan => {
	const byZone = new Map<string, string[]>();
	for (const {address, zoneId} of entries) {
		byZone.set(zoneId, [...byZone.get(zoneId) ?? [], address]);
	}

	const own = (byZone.get(self.zoneId) ?? []).toSorted();
	const rank = own.indexOf(self.address);
	if (entries.length <= mostDirect || rank === -1 || rank >= relaysPerZone || own.length < relaysPerZone) {
		return noRelay;
	}

	const others = [...byZone].filter(([zoneId]) => zoneId !== self.zoneId).map(([, addresses]) => addresses.toSorted());
	return {
		farAddresses: others.map(addresses => addresses[rank] ?? addresses[0]!),
		nearAddresses: own.filter(address => address !== self.address),
		passesNear: own.length > mostTold,
	};
};
