/** Where the host of a voter is. */
export type VoterPlace = {readonly zoneId: string; readonly regionId: string};

/** Numbers of hosts, availability zones and regions; the loss of any one of the three kinds at the same time must be tolerated. */
export type LossTolerance = {readonly hosts: number; readonly zones: number; readonly regions: number};

const minority = (voterCount: number): number => Math.max(0, Math.floor((voterCount - 1) / 2));

/** Sizes of the groups of voters with the same key, the largest first. */
const groupSizes = (voters: readonly VoterPlace[], key: keyof VoterPlace): number[] => {
	const sizes = new Map<string, number>();
	for (const voter of voters) {
		sizes.set(voter[key], (sizes.get(voter[key]) ?? 0) + 1);
	}

	return [...sizes.values()].toSorted((a, b) => b - a);
};

/** Maximum number of groups that may be lost, whichever they are, so that a majority of the voters remains. */
const toleratedGroups = (voters: readonly VoterPlace[], key: keyof VoterPlace): number => {
	let lostVoters = 0;
	let groups = 0;
	for (const size of groupSizes(voters, key)) {
		lostVoters += size;
		if (lostVoters > minority(voters.length)) {
			break;
		}

		groups++;
	}

	return groups;
};

/** Losses after which a majority of the voters remains, for each kind on its own. */
export const toleratedLosses = (voters: readonly VoterPlace[]): LossTolerance => ({
	hosts: minority(voters.length), zones: toleratedGroups(voters, 'zoneId'), regions: toleratedGroups(voters, 'regionId'),
});

export const toleratesLosses = (voters: readonly VoterPlace[], required: LossTolerance): boolean => {
	const {hosts, zones, regions} = toleratedLosses(voters);
	return hosts >= required.hosts && zones >= required.zones && regions >= required.regions;
};
