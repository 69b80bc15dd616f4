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
	/** `null` until this host has heard what its system is called. */
	systemId(): string | null;
	/** Takes the word of a control host that stands by. */
	hearStandby(memberId: string): void;
	isLeader(): boolean;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
	/** What the leader answers questions from. */
	view(subject: Show['subject']): Promise<QueryView>;
	/** What the hosts that watch here said last. */
	ownReports(): PlacedReport[];
	/** Takes another control host's message about its hosts, as leader. */
	hearFold(fold: Fold): FoldResult;
	inForce(revision: number): InForceResult;
};

type LeaderCall = Readonly<Record<string, unknown>> & {readonly systemId: string | null; readonly isForwarded: boolean};

const forwardTimeoutMs = 3000 + proposalTimeoutMs;

/** What other processes may ask of a control host. */
export const createControlRpc = (options: ControlRpcOptions): RpcServer => {
	const {
		driver, proposals, hub, logger, identity, systemId, hearStandby, isLeader, leaderAddress, view, ownReports, hearFold, inForce,
	} = options;

	// A host whose control host is gone may find another system's at the same address. Without the check it would be
	// counted there and take that system's configuration, a state that nobody accepted for it; refused, it asks its other control hosts.
	const assertSameSystem = (callerSystemId: string | null): void => {
		const ownSystemId = systemId();
		if (callerSystemId === null || callerSystemId === ownSystemId) {
			return;
		}

		throw ownSystemId === null
			? new RpcError(rpcErrorCodes.noQuorum, 'this control host has not yet heard which system it belongs to')
			: new RpcError(rpcErrorCodes.foreignSystem, `this control host belongs to system ${ownSystemId}, the caller to ${callerSystemId}`);
	};

	/** Calls the leader's `method`, or does it here if this host leads. */
	const atLeader = async <Result>(method: string, parameters: LeaderCall, here: () => Promise<Result> | Result): Promise<Result> => {
		assertSameSystem(parameters.systemId);
		if (isLeader()) {
			return here();
		}

		const address = leaderAddress();
		if (address === undefined || parameters.isForwarded) {
			throw new RpcError(rpcErrorCodes.noQuorum, 'no leader is in contact with a quorum');
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
	rpc.method('control.watch', watchParametersSchema, async parameters => {
		assertSameSystem(parameters.systemId);
		return hub.watch(parameters);
	});
	rpc.method('control.fold', foldSchema, fold => {
		if (!isLeader()) {
			throw new RpcError(rpcErrorCodes.notLeader, 'this control host does not lead');
		}

		return hearFold(fold);
	});
	rpc.method('control.reports', reportsParametersSchema, () => ownReports());
	rpc.method('control.inForce', inForceParametersSchema, async parameters => atLeader('control.inForce', parameters, () => inForce(parameters.revision)));
	rpc.method('control.propose', proposeParametersSchema, async parameters => atLeader('control.propose', parameters, async () => {
		const {command} = parameters;
		const result = await proposals.propose(command);
		if (result.type === 'accepted' && command.commandId !== null) {
			logger.event('BP1006', {change: command.change.type, revision: result.revision});
		}

		return result;
	}));
	rpc.method('control.query', queryParametersSchema, async parameters => atLeader('control.query', parameters, async () => query(parameters.show)));
	return rpc;
};
