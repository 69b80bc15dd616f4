import {memberIdOf} from './member-id.js';

/** What one control host has durably noted about who the first voters are. */
export type Formation = {
	readonly diskId: string;
	/** Disk of each first voter, by host; once noted it never changes. `null` while it isn't known. */
	readonly accepted: Readonly<Record<string, string>> | null;
	/** All first voters noted the same. */
	readonly isFormed: boolean;
};

/** A host that got its members from the log; it forms nothing any more. */
export const joinedFormation = ({diskId}: Formation): Formation => ({diskId, accepted: {}, isFormed: true});

export type FormationView = {
	readonly hostId: string;
	readonly voters: readonly string[];
	readonly own: Formation;
	/** What other first voters answered, by host. */
	readonly answers: ReadonlyMap<string, Formation>;
};

/**
 * One round of agreeing who the first voters are. A host that lost its disk
 * must not vote under its old name: it may have voted before, and it no longer
 * holds what it was counted for. So a host votes only once every first voter,
 * each by its disk, has durably noted the same set. A host with an empty disk
 * that meets a noted set without its disk is a replacement: it waits for the
 * leader to take it in.
 */
export const stepFormation = (view: FormationView): Formation => confirm({...view, own: accept(view)});

const accept = ({hostId, voters, own, answers}: FormationView): Formation => {
	if (own.accepted !== null) {
		return own;
	}

	const noted = [...answers.values()].find(({accepted}) => accepted !== null);
	if (noted !== undefined) {
		return noted.accepted![hostId] === own.diskId ? {...own, accepted: noted.accepted} : own;
	}

	const disks = voters.map(voter => [voter, voter === hostId ? own.diskId : answers.get(voter)?.diskId] as const);
	return disks.every(([, diskId]) => diskId !== undefined)
		? {...own, accepted: Object.fromEntries(disks) as Record<string, string>}
		: own;
};

const confirm = ({hostId, voters, own, answers}: FormationView): Formation => {
	if (own.accepted === null || own.isFormed) {
		return own;
	}

	const isSame = (other: Formation | undefined): boolean => other?.accepted !== null && other?.accepted !== undefined
		&& voters.every(voter => other.accepted![voter] === own.accepted![voter]);
	const others = voters.filter(voter => voter !== hostId).map(voter => answers.get(voter));
	const isFormed = others.every(other => isSame(other)) || others.some(other => other?.isFormed && isSame(other));
	return {...own, isFormed};
};

/** Ids of the first voters; empty until they have formed, and for hosts that aren't among them. */
export const formedVoters = ({accepted, isFormed}: Formation): string[] => isFormed
	? Object.entries(accepted ?? {}).map(([hostId, diskId]) => memberIdOf(hostId, diskId))
	: [];
