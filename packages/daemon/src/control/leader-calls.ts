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
	/** Resolves once this host has passed its leadership on; at once while it isn't about to. */
	handedOver(): Promise<unknown>;
};

/** What every call that the leader answers carries. */
export type LeaderCall = Readonly<Record<string, unknown>> & {readonly systemId: string | null; readonly isForwarded: boolean};

/** Calls the leader's `method`, or does it here if this host leads. */
export type AtLeader = <Result>(method: string, parameters: LeaderCall, here: () => Promise<Result> | Result) => Promise<Result>;

/** How long to look for the next leader once the one before has said that it no longer leads. */
const nextLeaderMs = 500;
const nextLeaderPollMs = 10;
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
			? new RpcError(rpcErrorCodes.noQuorum, `the leader cannot be reached (${error.message}); an order may still be accepted: resend it with the same command id`)
			: error;
	});
};

/**
 * A leader that says that it no longer leads has appended nothing: the next one
 * is asked as soon as it is known, so that nobody is refused for a planned stop.
 */
export const createLeaderCalls = ({assertSameSystem, isLeader, leaderAddress, handedOver}: LeaderCallsOptions): AtLeader => async (method, parameters, here) => {
	assertSameSystem(parameters.systemId);
	await handedOver();
	const giveUpAtMs = performance.now() + nextLeaderMs;
	for (let tries = 0; ; tries++) {
		if (isLeader()) {
			return here();
		}

		const address = leaderAddress();
		if (parameters.isForwarded || (address === undefined && tries === 0)) {
			throw noLeader();
		}

		try {
			return await forward(address, method, parameters);
		} catch (error) {
			if (!isNotLeader(error) || performance.now() >= giveUpAtMs) {
				throw error;
			}
		}

		await delay(nextLeaderPollMs);
	}
};
