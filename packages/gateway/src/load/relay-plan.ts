/** Address and availability zone of an entry. */
export type ZonedAddress = {readonly address: string; readonly zoneId: string};

/** The entries that an entry relays reports to; both lists are empty if it is not a relay. */
export type RelayPlan = {
	/** One entry of each other zone, to which the digest of the own zone is sent. */
	readonly remoteAddresses: readonly string[];
	/** The other entries of the own zone, to which digests of other zones are relayed. */
	readonly localAddresses: readonly string[];
	/** Whether reports of the own zone are relayed to `localAddresses` too, because agents do not send to all of them. */
	readonly relaysLocally: boolean;
};

/**
 * Number of entries per zone that relay its reports, each to a different relay of every
 * other zone. With a single one, a stall of its process would make the engines of its
 * zone appear silent to all other zones for the 2 s until it is removed from the roster.
 */
export const relaysPerZone = 2;

/**
 * Up to this number of entries, agents send reports to all of them directly: reports
 * are then 100 ms fresher than through relays, at little cost.
 */
const maxDirectEntries = 12;
/** In larger fleets, agents send directly to all entries of their zone up to this number; with more, only to the relays. */
const maxDirectLocalEntries = 3;

/** `all`: the agent sends at least every second report to every entry. `relayed`: it sends to a few entries, which relay the reports. */
export type ReportRoutes = {readonly type: 'all' | 'relayed'; /** Entries of the agent's zone that receive every report. */ readonly localAddresses: readonly string[]};

/** Selects the entries that an agent sends its reports to. */
export const reportRoutes = (zoneId: string, entries: readonly ZonedAddress[]): ReportRoutes => {
	const localAddresses = entries.filter(entry => entry.zoneId === zoneId).map(({address}) => address).toSorted();
	if (entries.length <= maxDirectEntries || localAddresses.length < relaysPerZone) {
		return {type: 'all', localAddresses};
	}

	return {type: 'relayed', localAddresses: localAddresses.length > maxDirectLocalEntries ? localAddresses.slice(0, relaysPerZone) : localAddresses};
};

export const noRelay: RelayPlan = {remoteAddresses: [], localAddresses: [], relaysLocally: false};

/**
 * The relays of a zone are the first of its entries by address, so all processes select
 * the same ones without coordination. The first relay of a zone sends to the first relays
 * of the other zones and the second to the second ones, so that the failure of a relay
 * interrupts only one of the two paths. If there are few entries in total, or the zone has
 * fewer than `relaysPerZone`, agents send to all entries directly and there are no relays.
 */
export const planRelay = (self: ZonedAddress, entries: readonly ZonedAddress[]): RelayPlan => {
	const byZone = new Map<string, string[]>();
	for (const {address, zoneId} of entries) {
		byZone.set(zoneId, [...byZone.get(zoneId) ?? [], address]);
	}

	const own = (byZone.get(self.zoneId) ?? []).toSorted();
	const rank = own.indexOf(self.address);
	if (entries.length <= maxDirectEntries || rank === -1 || rank >= relaysPerZone || own.length < relaysPerZone) {
		return noRelay;
	}

	const others = [...byZone].filter(([zoneId]) => zoneId !== self.zoneId).map(([, addresses]) => addresses.toSorted());
	return {
		remoteAddresses: others.map(addresses => addresses[rank] ?? addresses[0]!),
		localAddresses: own.filter(address => address !== self.address),
		relaysLocally: own.length > maxDirectLocalEntries,
	};
};
