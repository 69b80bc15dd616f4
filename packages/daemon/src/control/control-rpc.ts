import {
	consensusEnvelopesSchema, reportAggregateSchema, formationParametersSchema, inForceParametersSchema, proposeParametersSchema, queryParametersSchema,
	reportsParametersSchema, rpcErrorCodes, standbyParametersSchema, watchParametersSchema,
	type ReportAggregate, type ReportAggregateResult, type InForceResult, type QueryResult, type Show,
} from '@bitternpaddle/protocol';
import {
	createRpcServer, RpcError, type Logger, type RpcServer,
} from '@bitternpaddle/transport';
import {answerQuery, type QueryView} from './answer-query.js';
import type {ConsensusDriver} from './consensus-driver.js';
import {createLeaderCalls} from './leader-calls.js';
import type {MemberIdentity} from './member-identity.js';
import type {SessionReport} from './host-view.js';
import type {Proposals} from './proposals.js';
import {createSystemCheck} from './system-check.js';
import type {WatchHub} from './watch-hub.js';

export type ControlRpcOptions = {
	readonly driver: ConsensusDriver;
	readonly proposals: Proposals;
	readonly hub: WatchHub;
	readonly logger: Logger;
	readonly identity: MemberIdentity;
	/** `null` until this host has received the id of its system. */
	systemId(): string | null;
	/** Records the announcement of a standby control host. */
	recordStandby(memberId: string): void;
	isLeader(): boolean;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
	/** Resolves once this host has transferred its leadership; immediately if no transfer is in progress. */
	whenHandedOver(): Promise<unknown>;
	/** The state from which the leader answers queries. */
	view(subject: Show['subject']): Promise<QueryView>;
	/** The latest reports of the hosts that watch this control host. */
	ownReports(): SessionReport[];
	/** Processes another control host's aggregated host reports, as leader. */
	receiveAggregate(aggregate: ReportAggregate): ReportAggregateResult;
	inForce(revision: number): InForceResult;
};

/** The RPC methods that a control host offers to other processes. */
export const createControlRpc = (options: ControlRpcOptions): RpcServer => {
	const {
		driver, proposals, hub, logger, identity, recordStandby, view, ownReports, isLeader, receiveAggregate, inForce,
	} = options;
	const assertSameSystem = createSystemCheck(options.systemId);
	const callLeader = createLeaderCalls({...options, assertSameSystem});

	const query = async (show: Show): Promise<QueryResult> => {
		const queryView = await view(show.subject);
		return {revision: queryView.catalog.revision, rows: answerQuery(queryView, show)};
	};

	const rpc = createRpcServer();
	rpc.method('consensus.messages', consensusEnvelopesSchema, ({envelopes}) => {
		for (const envelope of envelopes) {
			driver.receive(envelope);
		}
	});
	rpc.method('control.formation', formationParametersSchema, () => identity.formation());
	rpc.method('control.standby', standbyParametersSchema, ({memberId}) => {
		recordStandby(memberId);
	});
	rpc.method('control.watch', watchParametersSchema, async parameters => {
		assertSameSystem(parameters.systemId);
		return hub.watch(parameters);
	});
	rpc.method('control.fold', reportAggregateSchema, aggregate => {
		if (!isLeader()) {
			throw new RpcError(rpcErrorCodes.notLeader, 'this control host does not lead');
		}

		return receiveAggregate(aggregate);
	});
	rpc.method('control.reports', reportsParametersSchema, () => ownReports());
	rpc.method('control.inForce', inForceParametersSchema, async parameters => callLeader('control.inForce', parameters, () => inForce(parameters.revision)));
	rpc.method('control.propose', proposeParametersSchema, async parameters => callLeader('control.propose', parameters, async () => {
		const {command} = parameters;
		const result = await proposals.propose(command);
		if (result.type === 'accepted' && command.commandId !== null) {
			logger.event('BP1006', {change: command.change.type, revision: result.revision});
		}

		return result;
	}));
	rpc.method('control.query', queryParametersSchema, async parameters => callLeader('control.query', parameters, async () => query(parameters.show)));
	return rpc;
};
