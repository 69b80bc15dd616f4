import {setTimeout as delay} from 'node:timers/promises';
import {
	consensusEnvelopesSchema, foldSchema, formationParametersSchema, inForceParametersSchema, proposeParametersSchema, queryParametersSchema,
	reportsParametersSchema, rpcErrorCodes, standbyParametersSchema, watchParametersSchema,
	type Fold, type FoldResult, type InForceResult, type QueryResult, type Show,
} from '@bitternpaddle/protocol';
import {
	callRpc, createRpcServer, RpcError, TransportError, type Logger, type RpcServer,
} from '@bitternpaddle/transport';
import {answerQuery, type QueryView} from './answer-query.js';
import type {ConsensusDriver} from './consensus-driver.js';
import type {MemberIdentity} from './member-identity.js';
import type {PlacedReport} from './host-view.js';
import {proposalTimeoutMs, type Proposals} from './proposals.js';
import type {WatchHub} from './watch-hub.js';

export type ControlRpcOptions = {
	readonly driver: ConsensusDriver;
	readonly proposals: Proposals;
	readonly hub: WatchHub;
	readonly logger: Logger;
	readonly identity: MemberIdentity;
	/** Takes the word of a control host that stands by. */
	hearStandby(memberId: string): void;
	isLeader(): boolean;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
	/** Resolves once this host has passed its leadership on; at once while it isn't about to. */
	handedOver(): Promise<unknown>;
	/** What the leader answers questions from. */
	view(subject: Show['subject']): Promise<QueryView>;
	/** What the hosts that watch here said last. */
	ownReports(): PlacedReport[];
	/** Takes another control host's message about its hosts, as leader. */
	hearFold(fold: Fold): FoldResult;
	inForce(revision: number): InForceResult;
};

/** How long to look for the next leader once the one before has said that it no longer leads. */
const nextLeaderMs = 500;
const nextLeaderPollMs = 10;
const forwardTimeoutMs = 3000 + proposalTimeoutMs;

/** What other processes may ask of a control host. */
export const createControlRpc = (options: ControlRpcOptions): RpcServer => {
	const {
		driver, proposals, hub, logger, identity, hearStandby, isLeader, leaderAddress, handedOver, view, ownReports, hearFold, inForce,
	} = options;

	/**
	 * Calls the leader's `method`, or does it here if this host leads. A leader
	 * that says that it no longer leads has appended nothing: the next one is
	 * asked as soon as it is known, so that nobody is refused for a planned stop.
	 */
	const atLeader = async <Result>(method: string, parameters: Record<string, unknown>, here: () => Promise<Result> | Result): Promise<Result> => {
		await handedOver();
		const giveUpAtMs = performance.now() + nextLeaderMs;
		for (let tries = 0; ; tries++) {
			if (isLeader()) {
				return here();
			}

			const address = leaderAddress();
			if (parameters.isForwarded === true || (address === undefined && tries === 0)) {
				throw new RpcError(rpcErrorCodes.notLeader, 'no leader is in contact with a quorum');
			}

			try {
				return await forward<Result>(address, method, parameters);
			} catch (error) {
				if ((error as {code?: number}).code !== rpcErrorCodes.notLeader || performance.now() >= giveUpAtMs) {
					throw error;
				}
			}

			await delay(nextLeaderPollMs);
		}
	};

	const forward = async <Result>(address: string | undefined, method: string, parameters: Record<string, unknown>): Promise<Result> => {
		if (address === undefined) {
			throw new RpcError(rpcErrorCodes.notLeader, 'no leader is in contact with a quorum');
		}

		return callRpc<Result>({
			address, method, params: {...parameters, isForwarded: true}, timeoutMs: forwardTimeoutMs,
		}).catch((error: unknown) => {
			throw error instanceof TransportError
				? new RpcError(rpcErrorCodes.noQuorum, `the leader cannot be reached (${error.message}); an order may still be accepted: resend it with the same command id`)
				: error;
		});
	};

	const query = async (show: Show): Promise<QueryResult> => {
		const seen = await view(show.subject);
		return {revision: seen.catalog.revision, rows: answerQuery(seen, show)};
	};

	const rpc = createRpcServer();
	rpc.method('consensus.messages', consensusEnvelopesSchema, ({envelopes}) => {
		for (const envelope of envelopes) {
			driver.receive(envelope);
		}
	});
	rpc.method('control.formation', formationParametersSchema, () => identity.formation());
	rpc.method('control.standby', standbyParametersSchema, ({memberId}) => {
		hearStandby(memberId);
	});
	rpc.method('control.watch', watchParametersSchema, async parameters => hub.watch(parameters));
	rpc.method('control.fold', foldSchema, fold => {
		if (!isLeader()) {
			throw new RpcError(rpcErrorCodes.notLeader, 'this control host does not lead');
		}

		return hearFold(fold);
	});
	rpc.method('control.reports', reportsParametersSchema, () => ownReports());
	rpc.method('control.inForce', inForceParametersSchema, async ({revision, isForwarded}) => atLeader('control.inForce', {revision, isForwarded}, () => inForce(revision)));
	rpc.method('control.propose', proposeParametersSchema, async ({command, isForwarded}) => atLeader('control.propose', {command, isForwarded}, async () => {
		const result = await proposals.propose(command);
		if (result.type === 'accepted' && command.commandId !== null) {
			logger.event('BP1006', {change: command.change.type, revision: result.revision});
		}

		return result;
	}));
	rpc.method('control.query', queryParametersSchema, async ({show, isForwarded}) => atLeader('control.query', {show, isForwarded}, async () => query(show)));
	return rpc;
};
