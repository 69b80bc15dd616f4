import type {RejectionReason} from '@bitternpaddle/coordination';
import {rpcErrorCodes} from '@bitternpaddle/protocol';
import type {LogEntry} from '@bitternpaddle/state';
import {RpcError} from '@bitternpaddle/transport';
import type {ProposalOutcome} from './consensus-driver.js';

type PendingProposal<Result> = {readonly term: number; resolve(result: Result): void; reject(error: Error): void};

export type LogProposalsOptions = {
	/** @default 5000 */
	readonly timeoutMs?: number;
	append(payload: LogEntry['payload']): ProposalOutcome;
};

export type LogProposals<Result> = {
	/** Appends to the log; resolves once the entry has been committed and applied. */
	propose(payload: LogEntry['payload']): Promise<Result>;
	/** Settles the promise of the local proposer of `entry`, if there is one. */
	settle(entry: LogEntry, result: Result): void;
};

export const proposalTimeoutMs = 5000;

const rejectionOf = (reason: RejectionReason): RpcError => {
	switch (reason) {
		case 'handingOver': {
			return new RpcError(rpcErrorCodes.notLeader, 'this control host is transferring the leadership; the change was not accepted, try again');
		}

		case 'tooManyUncommitted': {
			return new RpcError(rpcErrorCodes.tooManyChanges, 'too many bytes of changes wait for a quorum; the change was not accepted, try again');
		}

		case 'notLeader':
		case 'membersBusy':
		case 'invalidMembers': {
			return new RpcError(rpcErrorCodes.notLeader, 'this control host does not lead');
		}
	}
};

/** Entries that this control host appended and that are neither committed nor lost yet. */
export const createLogProposals = <Result>({timeoutMs = proposalTimeoutMs, append}: LogProposalsOptions): LogProposals<Result> => {
	const pending = new Map<number, PendingProposal<Result>>();
	return {
		async propose(payload) {
			const outcome = append(payload);
			if (outcome.type === 'rejected') {
				throw rejectionOf(outcome.reason);
			}

			return new Promise((resolve, reject) => {
				const timer = setTimeout(() => {
					pending.delete(outcome.index);
					reject(new RpcError(rpcErrorCodes.noQuorum, 'no quorum confirmed the change in time; it may still be accepted: resend it unchanged'));
				}, timeoutMs);
				pending.set(outcome.index, {
					term: outcome.term,
					resolve(result) {
						clearTimeout(timer);
						resolve(result);
					},
					reject(error) {
						clearTimeout(timer);
						reject(error);
					},
				});
			});
		},
		settle(entry, result) {
			const waiting = pending.get(entry.index);
			if (waiting === undefined) {
				return;
			}

			pending.delete(entry.index);
			if (waiting.term === entry.term) {
				waiting.resolve(result);
			} else {
				waiting.reject(new RpcError(rpcErrorCodes.notLeader, 'another leader took over; the change was not accepted'));
			}
		},
	};
};
