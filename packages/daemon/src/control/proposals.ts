import type {Command, CommandResult, LogEntry} from '@bitternpaddle/state';
import {createLogProposals, type LogProposalsOptions} from './log-proposals.js';

export {proposalTimeoutMs} from './log-proposals.js';

export type Proposals = {
	/** Appends the command to the log; resolves once it has been committed and applied. */
	propose(command: Command): Promise<CommandResult>;
	/** Settles the promise of the local proposer of `entry`, if there is one. */
	settle(entry: LogEntry, result: CommandResult): void;
};

/** Commands that this control host appended and that are neither committed nor lost yet. */
export const createProposals = (options: LogProposalsOptions): Proposals => {
	const {propose, settle} = createLogProposals<CommandResult>(options);
	return {propose: async command => propose({type: 'command', command}), settle};
};
