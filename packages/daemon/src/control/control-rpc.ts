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
	/** What the leader answers questions from. */
	view(subject: Show['subject']): Promise<QueryView>;
	/** What the hosts that watch here said last. */
	ownReports(): PlacedReport[];
	/** Takes another control host's message about its hosts, as leader. */
	hearFold(fold: Fold): FoldResult;
	inForce(revision: number): InForceResult;
};

const forwardTimeoutMs = 3000 + proposalTimeoutMs;

/** What other processes may ask of a control host. */
export const createControlRpc = (options: ControlRpcOptions): RpcServer => {
	const {
		driver, proposals, hub, logger, identity, hearStandby, isLeader, leaderAddress, view, ownReports, hearFold, inForce,
	} = options;

	/** Calls the leader's `method`, or does it here if this host leads. */
	const atLeader = async <Result>(method: string, parameters: Record<string, unknown>, here: () => Promise<Result> | Result): Promise<Result> => {
		if (isLeader()) {
			return here();
		}

		const address = leaderAddress();
		if (address === undefined || parameters.isForwarded === true) {
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
