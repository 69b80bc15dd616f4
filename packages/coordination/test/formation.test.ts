import fc from 'fast-check';
import t from 'tap';
import {formedVoters, stepFormation, type Formation} from '@bitternpaddle/coordination';

const voters = ['a', 'b', 'c'];
const seed = 20_261_202;

type Hosts = Map<string, Formation>;

const emptyFormation = (diskId: string): Formation => ({diskId, accepted: null, isFormed: false});

/** One host requests the records of others; some of the answers may be older than its own record. */
const round = (hosts: Hosts, hostId: string, answers: Hosts): void => {
	hosts.set(hostId, stepFormation({
		hostId, voters, own: hosts.get(hostId)!, answers: new Map([...answers].filter(([id]) => id !== hostId)),
	}));
};

t.test('three empty hosts form a group once all have recorded the same set', async t => {
	const hosts: Hosts = new Map(voters.map(id => [id, emptyFormation(`${id}1`)]));
	round(hosts, 'a', new Map([['b', hosts.get('b')!]]));
	t.equal(hosts.get('a')!.accepted, null, 'the record of one voter is missing');
	for (const id of [...voters, ...voters]) {
		round(hosts, id, new Map(hosts));
	}

	for (const id of voters) {
		t.same(formedVoters(hosts.get(id)!), ['a#a1', 'b#b1', 'c#c1']);
	}
});

// A voter loses its disk before, while or after the group forms, and restarts with
// an empty disk under the same host id; answers are delayed. If it were accepted
// as an initial voter, it could vote twice in a term. In any order, only one set
// ever forms, and it does not contain a disk that was added after it formed.
t.test(`forms only one group, seed ${seed}`, async t => {
	const steps = fc.array(fc.tuple(fc.nat(2), fc.nat(7), fc.nat(7), fc.nat(40)), {minLength: 5, maxLength: 40});
	let formedRuns = 0;
	fc.assert(fc.property(steps, fc.nat(2), (rounds, lostVoter) => {
		const hosts: Hosts = new Map(voters.map(id => [id, emptyFormation(`${id}1`)]));
		let olderHosts: Hosts = new Map(hosts);
		const formed = new Set<string>();
		let hasLost = false;
		for (const [voterIndex, reachable, outdated, fault] of rounds) {
			const host = voters[voterIndex]!;
			const sources = [hosts, olderHosts];
			const responding = voters.filter((_, position) => Math.floor(reachable / (2 ** position)) % 2 === 1);
			round(hosts, host, new Map(responding.map(id => [id, sources[Math.floor(outdated / (2 ** voters.indexOf(id))) % 2]!.get(id)!])));
			const ids = formedVoters(hosts.get(host)!);
			if (ids.length > 0) {
				formed.add(ids.toSorted().join(' '));
			}

			if (fault % 3 === 0) {
				olderHosts = new Map(hosts);
			}

			if (fault === 40 && !hasLost) {
				hasLost = true;
				hosts.set(voters[lostVoter]!, emptyFormation(`${voters[lostVoter]!}2`));
			}
		}

		formedRuns += formed.size;
		return formed.size <= 1;
	}), {seed, numRuns: 5000});
	t.comment(`a group formed in ${formedRuns} of 5000 runs`);
	t.ok(formedRuns > 500);
});
