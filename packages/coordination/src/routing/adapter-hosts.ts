import type {HostState} from './host-state.js';
import type {Group} from './types.js';

/** Name by which callers request an adapter. */
export const adapterNameOf = (modelId: string, adapterId: string): string => `${modelId}/${adapterId}`;

/** Restricts the hosts that may be chosen: not tried yet, and holding the adapter if one is requested. */
export type HostFilter = {readonly tried: ReadonlySet<string>; readonly adapterId?: string};

export const isUsable = (host: HostState, {tried, adapterId}: HostFilter): boolean => (tried.size === 0 || !tried.has(host.hostId))
	&& (adapterId === undefined || (host.record.readyAdapterIds?.includes(adapterId) ?? false));

/** Whether an endpoint that could serve the request is merely full, so that waiting helps. */
export const isWorthWaiting = ({tiers}: Group, filter: HostFilter): boolean => filter.adapterId !== undefined
	&& tiers.some(({members}) => [...members].some(host => host.isActive && !host.isEjected && isUsable(host, filter)));
