import {createChangeHistory, recordChange, type ChangeHistory} from '@bitternpaddle/coordination';
import {
	applyCommand, createCatalog, createLedger, upgradeAdapters, type CatalogChange, type Command, type CommandResult, type ReplicatedState, type Snapshot,
} from '@bitternpaddle/state';

/** This control host's copy of the state, with the log applied up to `appliedIndex`. */
export type Replica = {
	state: ReplicatedState;
	history: ChangeHistory;
	appliedIndex: number;
	appliedTerm: number;
};

export const createReplica = (snapshot: Snapshot | null): Replica => {
	if (snapshot === null) {
		return {
			state: {catalog: createCatalog(), ledger: createLedger()}, history: createChangeHistory(0), appliedIndex: 0, appliedTerm: 0,
		};
	}

	const state = JSON.parse(snapshot.state) as ReplicatedState;
	upgradeAdapters(state.catalog);
	return {
		state, history: createChangeHistory(state.catalog.revision), appliedIndex: snapshot.index, appliedTerm: snapshot.term,
	};
};

/** Applies a committed command and records the change for hosts that have not received it yet. */
export const applyToReplica = (replica: Replica, command: Command, index: number): CommandResult => {
	const before = replica.state.catalog.revision;
	const result = applyCommand(replica.state, command, index);
	if (replica.state.catalog.revision !== before) {
		recordChange(replica.history, {index, change: command.change});
	}

	return result;
};
