import {rpcErrorCodes} from '@bitternpaddle/protocol';
import {RpcError} from '@bitternpaddle/transport';

/** Throws unless the caller belongs to this system; `null` stands for a caller that does not know its system yet. */
export type SystemCheck = (callerSystemId: string | null) => void;

/**
 * A host whose control host is down may reach another system's control host at
 * the same address. Without this check it would join that system and apply its
 * configuration, which nobody accepted for this host. A rejected host turns to
 * its other control hosts.
 */
export const createSystemCheck = (ownSystemId: () => string | null): SystemCheck => callerSystemId => {
	const own = ownSystemId();
	if (callerSystemId === null || callerSystemId === own) {
		return;
	}

	throw own === null
		? new RpcError(rpcErrorCodes.noQuorum, 'this control host does not know yet which system it belongs to')
		: new RpcError(rpcErrorCodes.foreignSystem, `this control host belongs to system ${own}, the caller to ${callerSystemId}`);
};
