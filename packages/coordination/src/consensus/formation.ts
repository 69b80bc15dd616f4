import {memberIdOf} from './member-id.js';

/** Durable record of one control host about the initial voters. */
export type Formation = {
	readonly diskId: string;
	/** Disk of each initial voter, keyed by host; never changes once recorded. `null` while it is unknown. */
	readonly accepted: Readonly<Record<string, string>> | null;
	/** Whether all initial voters have recorded the same set. */
	readonly isFormed: boolean;
};

/** Record of a host that received its members from the log and so takes no part in the formation. */
export const joinedFormation = ({diskId}: Formation): Formation => ({diskId, accepted: {}, isFormed: true});

export type FormationView = {
	readonly hostId: string;
	readonly voters: readonly string[];
	readonly own: Formation;
	/** Records received from the other initial voters, keyed by host. */
	readonly answers: ReadonlyMap<string, Formation>;
};

/**
 * Runs one round of the agreement on the initial voters. A host that lost its
 * disk must not vote under its old id: it may have voted before, and it no
 * longer holds the entries that it was counted for. So a host votes only once
 * every initial voter, identified by its disk, has durably recorded the same
 * set. A host with an empty disk that finds a recorded set without its disk is
 * a replacement and waits until the leader adds it.
 */
export const stepFormation = (view: FormationView): Formation => confirmFormed({...view, own: acceptVoters(view)});

const acceptVoters = ({hostId, voters, own, answers}: FormationView): Formation => {
	if (own.accepted !== null) {
		return own;
	}

	const recorded = [...answers.values()].find(({accepted}) => accepted !== null);
	if (recorded !== undefined) {
		return recorded.accepted![hostId] === own.diskId ? {...own, accepted: recorded.accepted} : own;
	}

	const disks = voters.map(voter => [voter, voter === hostId ? own.diskId : answers.get(voter)?.diskId] as const);
	return disks.every(([, diskId]) => diskId !== undefined)
		? {...own, accepted: Object.fromEntries(disks) as Record<string, string>}
		: own;
};

const confirmFormed = ({hostId, voters, own, answers}: FormationView): Formation => {
	if (own.accepted === null || own.isFormed) {
		return own;
	}

	const isSame = (other: Formation | undefined): boolean => other?.accepted !== null && other?.accepted !== undefined
		&& voters.every(voter => other.accepted![voter] === own.accepted![voter]);
	const others = voters.filter(voter => voter !== hostId).map(voter => answers.get(voter));
	const isFormed = others.every(other => isSame(other)) || others.some(other => other?.isFormed && isSame(other));
	return {...own, isFormed};
};

/** Ids of the initial voters; empty until the group has formed, and on hosts that joined through the log. */
export const formedVoters = ({accepted, isFormed}: Formation): string[] => isFormed
	? Object.entries(accepted ?? {}).map(([hostId, diskId]) => memberIdOf(hostId, diskId))
	: [];
