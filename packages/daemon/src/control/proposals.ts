import {rpcErrorCodes} from '@bitternpaddle/protocol';
import type {Command, CommandResult, LogEntry} from '@bitternpaddle/state';
import {RpcError} from '@bitternpaddle/transport';
import type {ProposalOutcome} from './consensus-driver.js';

type PendingProposal = {readonly term: number; resolve(result: CommandResult): void; reject(error: Error): void};

export type ProposalsOptions = {
	/** @default 5000 */
	readonly timeoutMs?: number;
	append(payload: LogEntry['payload']): ProposalOutcome;
};

export type Proposals = {
	/** Appends the command to the log; resolves once it was committed and applied. */
	propose(command: Command): Promise<CommandResult>;
	/** Answers whoever proposed `entry`, if that was here. */
	settle(entry: LogEntry, result: CommandResult): void;
};

export const proposalTimeoutMs = 5000;

/** Commands that this control host appended and whose fate is open. */
export const createProposals = ({timeoutMs = proposalTimeoutMs, append}: ProposalsOptions): Proposals => {
	const pending = new Map<number, PendingProposal>();
	return {
		async propose(command) {
			const outcome = append({type: 'command', command});
			if (outcome.type === 'rejected') {
				throw new RpcError(rpcErrorCodes.notLeader, outcome.reason === 'handingOver'
					? 'this control host hands the leadership over; the change was not accepted, try again'
					: 'this control host does not lead');
			}

			return new Promise((resolve, reject) => {
				const timer = setTimeout(() => {
					pending.delete(outcome.index);
					reject(new RpcError(rpcErrorCodes.noQuorum, 'no quorum confirmed the change in time; it may still be accepted: resend it with the same command id'));
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
