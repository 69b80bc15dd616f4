import type {HostState} from './host-state.js';
import type {Group} from './types.js';

/** An adapter as callers name it. */
export const adapterNameOf = (modelId: string, adapterId: string): string => `${modelId}/${adapterId}`;

/** Whether a host may be chosen: it was not tried, and holds the adapter if one is asked for. */
export type HostFilter = {readonly tried: ReadonlySet<string>; readonly adapterId?: string};

export const isUsable = (host: HostState, {tried, adapterId}: HostFilter): boolean => (tried.size === 0 || !tried.has(host.hostId))
	&& (adapterId === undefined || (host.record.readyAdapterIds?.includes(adapterId) ?? false));

/** Whether an endpoint that could serve is only full now, so that waiting helps. */
export const isWorthWaiting = ({tiers}: Group, filter: HostFilter): boolean => filter.adapterId !== undefined
	&& tiers.some(({members}) => [...members].some(host => host.isActive && !host.isEjected && isUsable(host, filter)));
