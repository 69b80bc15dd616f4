export type SwarmPeer = {readonly hostId: string; readonly zoneId: string; readonly regionId: string};
