import {rpcErrorCodes} from '@bitternpaddle/protocol';
import {RpcError} from '@bitternpaddle/transport';

/** Throws unless the caller belongs to this system; `null` is a caller that has not heard yet of any. */
export type SystemCheck = (callerSystemId: string | null) => void;

/**
 * A host whose control host is gone may find another system's at the same
 * address. Without the check it would be counted there and take that system's
 * configuration, a state that nobody accepted for it; refused, it asks its
 * other control hosts.
 */
export const createSystemCheck = (ownSystemId: () => string | null): SystemCheck => callerSystemId => {
	const own = ownSystemId();
	if (callerSystemId === null || callerSystemId === own) {
		return;
	}

	throw own === null
		? new RpcError(rpcErrorCodes.noQuorum, 'this control host has not yet heard which system it belongs to')
		: new RpcError(rpcErrorCodes.foreignSystem, `this control host belongs to system ${own}, the caller to ${callerSystemId}`);
};
