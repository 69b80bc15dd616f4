import {
	consensusEnvelopesSchema, foldSchema, formationParametersSchema, inForceParametersSchema, proposeParametersSchema, queryParametersSchema,
	reportsParametersSchema, rpcErrorCodes, standbyParametersSchema, watchParametersSchema,
	type Fold, type FoldResult, type InForceResult, type QueryResult, type Show,
} from '@bitternpaddle/protocol';
import {
	createRpcServer, RpcError, type Logger, type RpcServer,
} from '@bitternpaddle/transport';
import {answerQuery, type QueryView} from './answer-query.js';
import type {ConsensusDriver} from './consensus-driver.js';
import {createLeaderCalls} from './leader-calls.js';
import type {MemberIdentity} from './member-identity.js';
import type {PlacedReport} from './host-view.js';
import type {Proposals} from './proposals.js';
import {createSystemCheck} from './system-check.js';
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

/** What other processes may ask of a control host. */
export const createControlRpc = (options: ControlRpcOptions): RpcServer => {
	const {
		driver, proposals, hub, logger, identity, hearStandby, view, ownReports, isLeader, hearFold, inForce,
	} = options;
	const assertSameSystem = createSystemCheck(options.systemId);
	const atLeader = createLeaderCalls({...options, assertSameSystem});

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
