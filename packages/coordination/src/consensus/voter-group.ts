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

/**
 * How many voters too many are in the zones and regions whose loss must be tolerated,
 * in a group of which up to `maxLost` voters may be lost; 0 if none.
 */
export const excessVoters = (voters: readonly VoterPlace[], {zones, regions}: LossTolerance, maxLost: number): number => {
	const excessIn = (key: keyof VoterPlace, groups: number): number => {
		let lostVoters = 0;
		for (const size of groupSizes(voters, key).slice(0, groups)) {
			lostVoters += size;
		}

		return Math.max(0, lostVoters - maxLost);
	};

	return excessIn('zoneId', zones) + excessIn('regionId', regions);
};

/** Chooses hosts one after the other, each so that the fewest are too many in a zone or region. */
const chooseVoters = (places: readonly VoterPlace[], required: LossTolerance, voterCount: number): VoterPlace[] => {
	const chosen: VoterPlace[] = [];
	const left = [...places];
	const sharing = (place: VoterPlace, key: keyof VoterPlace): number => chosen.filter(other => other[key] === place[key]).length;
	while (chosen.length < voterCount && left.length > 0) {
		const ranked = left.map((place, index) => ({
			index, excess: excessVoters([...chosen, place], required, minority(voterCount)), inZone: sharing(place, 'zoneId'), inRegion: sharing(place, 'regionId'),
		})).toSorted((a, b) => a.excess - b.excess || a.inZone - b.inZone || a.inRegion - b.inRegion);
		chosen.push(...left.splice(ranked[0]!.index, 1));
	}

	return chosen;
};

/**
 * Number of voters that tolerates the losses with the fewest of these hosts. It is odd:
 * one more adds no tolerance. If the hosts do not suffice, the number for the losses of hosts alone.
 */
export const requiredVoterCount = (places: readonly VoterPlace[], required: LossTolerance): number => {
	const least = (2 * Math.max(required.hosts, required.zones, required.regions)) + 1;
	for (let voterCount = least; voterCount <= places.length; voterCount += 2) {
		if (toleratesLosses(chooseVoters(places, required, voterCount), required)) {
			return voterCount;
		}
	}

	return Math.max(1, (2 * required.hosts) + 1);
};
