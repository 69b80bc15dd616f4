import t from 'tap';
import {
	createConsensus, createRandom, memberIdOf, planMembers, toleratesLosses, type ConsensusState, type LossTolerance, type VoterPlace,
} from '@bitternpaddle/coordination';

const nowMs = 100_000;
const maxSteps = 60;

const range = (from: number, to: number): number[] => Array.from({length: Math.max(0, to - from + 1)}, (_, index) => from + index);

/** Region of a zone: the first two zones share one, each further zone is alone. */
const regionOf = (zone: number): number => Math.max(0, zone - 1);

const placeOf = (member: string): VoterPlace => {
	const zone = Number(member.split('-', 1)[0]);
	return {zoneId: `zone-${zone}`, regionId: `region-${regionOf(zone)}`};
};

const membersOf = (disksByZone: readonly number[]): string[] => disksByZone.flatMap((disks, zone) => range(1, disks).map(disk => memberIdOf(`${zone}-${disk}`, '1')));

/** All lists of numbers of disks, for one to five zones. */
const layouts = (maxDisks: number, zones: number): number[][] => zones === 0 ? [[]] : layouts(maxDisks, zones - 1).flatMap(rest => range(0, maxDisks).map(disks => [...rest, disks]));

const sum = (counts: readonly number[]): number => {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	return total;
};

const largest = (counts: readonly number[], groups: number): number => sum(counts.toSorted((a, b) => b - a).slice(0, groups));

/** Whether some choice of these disks keeps a majority after any of the losses, by trying all choices. */
const canTolerate = (disksByZone: readonly number[], {hosts, zones, regions}: LossTolerance): boolean => {
	const choices = disksByZone.length === 0 ? [] : layouts(Math.max(...disksByZone), disksByZone.length).filter(choice => choice.every((count, zone) => count <= disksByZone[zone]!));
	return choices.some(counts => {
		const byRegion = range(0, 4).map(region => sum(counts.filter((_, zone) => regionOf(zone) === region)));
		return sum(counts) > 2 * Math.max(hosts, largest(counts, zones), largest(byRegion, regions));
	});
};

/** A leader with these voters that all members answer, except for the silent ones. */
const leaderOf = (voters: readonly string[], learners: readonly string[], silent: readonly string[]): ConsensusState => {
	const state = createConsensus({
		selfId: voters[0]!, initialMembers: {voters: [...voters], learners: [...learners]}, hardState: {term: 1, votedFor: null},
		snapshot: {
			index: 5, term: 1, members: {voters: [...voters], learners: [...learners]}, state: '',
		}, entries: [], random: createRandom(1), nowMs,
	});
	state.role = 'leader';
	for (const member of [...voters, ...learners]) {
		state.peers.set(member, {
			matchIndex: 5, nextIndex: 6, acknowledgedSentAtMs: silent.includes(member) ? 0 : nowMs, mode: 'stream', snapshotSentAtMs: 0, stamp: null,
			unacknowledged: [], snapshot: null, snapshotOffset: 0,
		});
	}

	return state;
};

/** Plans one change after the other until there is none; the voters at the end. */
const plan = (first: ConsensusState, required: LossTolerance, silent: readonly string[] = []): readonly string[] => {
	let state = first;
	for (let step = 0; step < maxSteps; step++) {
		const members = planMembers({
			state, standbys: new Map(), voterCount: (2 * required.hosts) + 1, leadingSinceMs: 0, nowMs, required, placeOf,
		});
		if (members === null) {
			return state.members.voters;
		}

		const {selfId} = state;
		state = leaderOf([selfId, ...members.voters.filter(voter => voter !== selfId)], members.learners, silent);
	}

	throw new Error('the members never stop changing');
};

const requirements: readonly LossTolerance[] = range(1, 3).flatMap(hosts => [
	{hosts, zones: 0, regions: 0}, {hosts, zones: 1, regions: 0}, {hosts, zones: 1, regions: 1}, {hosts: 0, zones: 1, regions: 0}, {hosts, zones: 2, regions: 0},
]);

// Guards against voters of which a lost zone or region takes the majority, although others could be chosen.
t.test('the voters tolerate the required losses in every layout whose disks can', async t => {
	for (const required of requirements) {
		const failed: string[] = [];
		let count = 0;
		for (const layout of range(1, 5).flatMap(zones => layouts(zones === 5 ? 2 : 3, zones))) {
			const members = membersOf(layout);
			if (!canTolerate(layout, required)) {
				continue;
			}

			count++;
			// The first voters are the first hosts: as many as possible are in the first zone.
			const voters = plan(leaderOf(members.slice(0, 3), members.slice(3), []), required);
			if (!toleratesLosses(voters.map(voter => placeOf(voter)), required)) {
				failed.push(`${layout.join(' ')}: ${voters.join(' ')}`);
			}
		}

		t.ok(count > 0);
		t.same(failed.slice(0, 3), [], `${failed.length} of ${count} layouts with ${JSON.stringify(required)}`);
	}
});

// Guards against a voter in a zone that already has enough in the place of one that was lost.
t.test('a lost voter is replaced so that the voters tolerate the required losses, if the disks that are left can', async t => {
	const required: LossTolerance = {hosts: 1, zones: 1, regions: 0};
	let count = 0;
	for (const layout of range(3, 4).flatMap(zones => layouts(3, zones))) {
		const members = membersOf(layout);
		if (!canTolerate(layout, required)) {
			continue;
		}

		const voters = plan(leaderOf(members.slice(0, 3), members.slice(3), []), required);
		for (const lost of voters.slice(1)) {
			const left = layout.map((disks, zone) => disks - (placeOf(lost).zoneId === `zone-${zone}` ? 1 : 0));
			if (canTolerate(left, required)) {
				count++;
				const replaced = plan(leaderOf(voters, members.filter(member => !voters.includes(member)), [lost]), required, [lost]);
				t.ok(toleratesLosses(replaced.map(voter => placeOf(voter)), required) && !replaced.includes(lost), `${layout.join(' ')} without ${lost}`);
			}
		}
	}

	t.ok(count > 0);
});
