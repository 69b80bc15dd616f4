/** A host that takes part in the exchange of chunks, and its location. */
export type SwarmPeer = {readonly hostId: string; readonly zoneId: string; readonly regionId: string};
