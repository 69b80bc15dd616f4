import {setTimeout as delay} from 'node:timers/promises';
import {rpcErrorCodes} from '@bitternpaddle/protocol';
import {callRpc, RpcError, TransportError} from '@bitternpaddle/transport';
import {proposalTimeoutMs} from './proposals.js';
import type {SystemCheck} from './system-check.js';

export type LeaderCallsOptions = {
	readonly assertSameSystem: SystemCheck;
	isLeader(): boolean;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
	/** Resolves once this host has transferred its leadership; immediately if no transfer is in progress. */
	whenHandedOver(): Promise<unknown>;
};

/** Parameters of every call that the leader answers. */
export type LeaderCall = Readonly<Record<string, unknown>> & {readonly systemId: string | null; readonly isForwarded: boolean};

/** Calls the leader's `method`, or runs it locally if this host leads. */
export type CallLeader = <Result>(method: string, parameters: LeaderCall, runLocally: () => Promise<Result> | Result) => Promise<Result>;

/** How long to wait for the next leader after the previous one has answered that it no longer leads. */
const nextLeaderTimeoutMs = 500;
const nextLeaderPollIntervalMs = 10;
const forwardTimeoutMs = 3000 + proposalTimeoutMs;

const noLeader = (): RpcError => new RpcError(rpcErrorCodes.notLeader, 'no leader is in contact with a quorum');

const isNotLeader = (error: unknown): boolean => (error as {code?: number}).code === rpcErrorCodes.notLeader;

const forward = async <Result>(address: string | undefined, method: string, parameters: LeaderCall): Promise<Result> => {
	if (address === undefined) {
		throw noLeader();
	}

	return callRpc<Result>({
		address, method, params: {...parameters, isForwarded: true}, timeoutMs: forwardTimeoutMs,
	}).catch((error: unknown) => {
		throw error instanceof TransportError
			? new RpcError(rpcErrorCodes.noQuorum, `the leader cannot be reached (${error.message}); a change may still be accepted: resend it with the same command id`)
			: error;
	});
};

/**
 * A leader that answers that it no longer leads has appended nothing, so the
 * call is retried at the next leader as soon as that is known. A planned stop
 * therefore fails no request.
 */
export const createLeaderCalls = ({assertSameSystem, isLeader, leaderAddress, whenHandedOver}: LeaderCallsOptions): CallLeader => async (method, parameters, runLocally) => {
	assertSameSystem(parameters.systemId);
	await whenHandedOver();
	const retryUntilMs = performance.now() + nextLeaderTimeoutMs;
	for (let tries = 0; ; tries++) {
		if (isLeader()) {
			return runLocally();
		}

		const address = leaderAddress();
		if (parameters.isForwarded || (address === undefined && tries === 0)) {
			throw noLeader();
		}

		try {
			return await forward(address, method, parameters);
		} catch (error) {
			if (!isNotLeader(error) || performance.now() >= retryUntilMs) {
				throw error;
			}
		}

		await delay(nextLeaderPollIntervalMs);
	}
};
