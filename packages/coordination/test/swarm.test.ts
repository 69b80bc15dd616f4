import t from 'tap';
import {
	admitUpload, createRandom, createSwarm, createUploads, finishUpload, isRemainderAvailable, stepSwarm, type SwarmEffect, type SwarmOptions, type SwarmPeer, type SwarmState,
} from '@bitternpaddle/coordination';

const peer = (hostId: string, zoneId = 'z1'): SwarmPeer => ({hostId, zoneId, regionId: 'r1'});

const create = (selfId: string, hostIds: readonly string[], options: Partial<SwarmOptions> = {}): {state: SwarmState; effects: SwarmEffect[]} => createSwarm({
	self: peer(selfId), manifestId: 'm', totalChunks: 8, held: [], peers: hostIds.map(hostId => peer(hostId)), random: createRandom(3), nowMs: 0, ...options,
});

const fetchesIn = (effects: readonly SwarmEffect[]) => effects.filter(effect => effect.type === 'fetch');

t.test('assigns each chunk to one owner among the live hosts', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const owned = hostIds.flatMap(hostId => [...create(hostId, hostIds).state.tickets.ownChunks]);
	t.same(owned.toSorted((a, b) => a - b), [0, 1, 2, 3, 4, 5, 6, 7]);
	const withoutA = hostIds.slice(1).flatMap(hostId => [...create(hostId, hostIds.slice(1)).state.tickets.ownChunks]);
	t.same(withoutA.toSorted((a, b) => a - b), [0, 1, 2, 3, 4, 5, 6, 7]);
});

// A host that owns some chunks crashes while the others receive theirs, and the
// control plane has not noticed. The others see chunks of all owners but that one
// arrive; after the takeover time, each of its chunks has exactly one new owner.
t.test('takes over each chunk of an origin fetcher without progress once', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const crashedHostChunks = create('a', hostIds).state.tickets.ownChunks;
	const states = hostIds.slice(1).map(hostId => create(hostId, hostIds).state);
	const takenOver: number[] = [];
	for (const state of states) {
		for (let nowMs = 0; nowMs <= 3000; nowMs += 500) {
			const chunk = nowMs / 500;
			if (!crashedHostChunks.includes(chunk)) {
				stepSwarm(state, {
					type: 'peerHas', hostId: hostIds.find(hostId => hostId !== state.options.self.hostId)!, chunks: [chunk], isGreeting: false,
				}, nowMs);
			}

			const fetched = fetchesIn(stepSwarm(state, {type: 'tick'}, nowMs));
			takenOver.push(...fetched.filter(({source}) => source.type === 'origin').map(({chunk}) => chunk).filter(chunk => crashedHostChunks.includes(chunk)));
		}
	}

	t.ok(crashedHostChunks.length > 0);
	t.same(takenOver.toSorted((a, b) => a - b), crashedHostChunks.toSorted((a, b) => a - b));
});

// The origin is unreachable for all hosts at once. No host has progress, so none is
// suspected: if all hosts took over from each other, every chunk would leave the
// origin several times once it is back.
t.test('does not take over chunks while the origin is unreachable for all', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const {state} = create('a', hostIds);
	const own = state.tickets.ownChunks.length;
	for (let nowMs = 0; nowMs <= 60_000; nowMs += 500) {
		for (const {chunk, source} of fetchesIn(stepSwarm(state, {type: 'tick'}, nowMs))) {
			stepSwarm(state, {
				type: 'failed', chunk, source, reason: 'unreachable',
			}, nowMs);
		}
	}

	t.equal(state.tickets.suspects.size, 0);
	t.equal(state.tickets.ownChunks.length + state.originFetches, own);
});

t.test('fetches the rarest chunk first', async t => {
	const {state} = create('a', ['a', 'b', 'c', 'd'], {maxFetches: 1, maxOriginFetches: 0});
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [], isGreeting: false,
	}, 0);
	state.peerFetches = 1;
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [1, 2], isGreeting: false,
	}, 1);
	stepSwarm(state, {
		type: 'peerHas', hostId: 'c', chunks: [1, 2, 3], isGreeting: false,
	}, 1);
	state.peerFetches = 0;
	t.match(fetchesIn(stepSwarm(state, {type: 'tick'}, 2)), [{chunk: 3, source: {type: 'peer', hostId: 'c'}}]);
});

// A host announces chunks that it does not have. Each of them costs a fetch; after
// three the host is ejected and nothing more is requested from it.
t.test('ejects a peer that announces chunks it does not have', async t => {
	const {state} = create('a', ['a', 'b'], {maxOriginFetches: 0, maxFetchesPerPeer: 1});
	const pending = [...stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1, 2, 3, 4], isGreeting: false,
	}, 0)];
	let requestCount = 0;
	for (let nowMs = 0; nowMs < 60_000; nowMs += 1000) {
		for (let effect = pending.shift(); effect !== undefined; effect = pending.shift()) {
			if (effect.type === 'fetch' && effect.source.type === 'peer') {
				requestCount++;
				pending.push(...stepSwarm(state, {
					type: 'failed', chunk: effect.chunk, source: effect.source, reason: 'missing',
				}, nowMs));
			}
		}

		pending.push(...stepSwarm(state, {type: 'tick'}, nowMs));
	}

	t.equal(requestCount, 3);
	t.notOk(state.neighbours.has('b'));
});

// Guards against chunks that nobody fetches from the origin after the host that owned them, or announced them, is ejected.
t.test('chunks of an ejected peer are fetched from the origin at once', async t => {
	for (const seed of [1, 2, 3, 4, 5]) {
		const {state} = create('a', ['a', 'b'], {random: createRandom(seed)});
		const running: SwarmEffect[] = [];
		const apply = (effects: readonly SwarmEffect[]): void => {
			running.push(...fetchesIn(effects));
		};

		apply(stepSwarm(state, {
			type: 'peerHas', hostId: 'b', chunks: [0, 1, 2, 3, 4, 5, 6, 7], isGreeting: false,
		}, 0));
		for (let nowMs = 0; nowMs < 1900; nowMs += 10) {
			const ended = running.shift();
			if (ended?.type === 'fetch') {
				const {chunk, source} = ended;
				apply(stepSwarm(state, source.type === 'peer'
					? {
						type: 'failed', chunk, source, reason: 'corrupt',
					}
					: {type: 'stored', chunk, source}, nowMs));
			}

			apply(stepSwarm(state, {type: 'tick'}, nowMs));
		}

		t.equal(state.held.size, 8, `seed ${seed}`);
	}
});

// A link stalls without an error. The fetch is cancelled after a timeout, and the
// chunk is fetched from the next host that has it.
t.test('retries a stalled fetch at another neighbour', async t => {
	const {state} = create('a', ['a', 'b', 'c'], {maxFetches: 1, maxOriginFetches: 0});
	const [first] = fetchesIn(stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0], isGreeting: false,
	}, 0));
	t.match(first, {source: {hostId: 'b'}});
	stepSwarm(state, {
		type: 'peerHas', hostId: 'c', chunks: [0], isGreeting: false,
	}, 0);
	const effects = stepSwarm(state, {type: 'tick'}, 6000);
	t.match(effects, [{type: 'cancel', source: {hostId: 'b'}}, {type: 'fetch', source: {hostId: 'c'}}]);
});

t.test('limits uploads in total and per peer', async t => {
	const uploads = createUploads({maxUploads: 3, maxPerPeer: 2});
	t.same(['a', 'a', 'a', 'b', 'c'].map(peerId => admitUpload(uploads, peerId)), [true, true, false, true, false]);
	finishUpload(uploads, 'a');
	t.ok(admitUpload(uploads, 'c'));
});

const announcementsIn = (effects: readonly SwarmEffect[]) => effects.filter(effect => effect.type === 'announce');

const announceFrom = (state: SwarmState, hostId: string, chunks: readonly number[], nowMs: number): SwarmEffect[] => stepSwarm(state, {
	type: 'peerHas', hostId, chunks, isGreeting: false,
}, nowMs);

/** Creates the state of `a` with the neighbours `b`, `c` and `d`, which have all sent an announcement. It starts no fetches by itself. */
const createWithNeighbours = (): SwarmState => {
	const {state} = create('a', ['a', 'b', 'c', 'd'], {maxOriginFetches: 0, maxFetches: 0});
	for (const hostId of ['b', 'c', 'd']) {
		announceFrom(state, hostId, [], 0);
	}

	state.typicalFetchMs = 300;
	return state;
};

t.test('announces a rare chunk immediately, and only to neighbours that lack it', async t => {
	const state = createWithNeighbours();
	announceFrom(state, 'b', [1], 0);
	t.same(announcementsIn(stepSwarm(state, {type: 'stored', chunk: 1, source: {type: 'peer', hostId: 'b'}}, 10)), [{
		type: 'announce', to: ['c', 'd'], chunks: [1], isGreeting: false,
	}]);
});

// Two common chunks arrive one after the other. One message per chunk and neighbour
// took most of an agent's processor time during a burst, so both are announced
// together; `d`, which has received one of them elsewhere meanwhile, is only sent
// the other.
t.test('announces common chunks in a batch', async t => {
	const state = createWithNeighbours();
	for (const hostId of ['b', 'c']) {
		announceFrom(state, hostId, [1, 2], 0);
	}

	t.same(announcementsIn(stepSwarm(state, {type: 'stored', chunk: 1, source: {type: 'peer', hostId: 'b'}}, 100)), []);
	t.same(announcementsIn(stepSwarm(state, {type: 'stored', chunk: 2, source: {type: 'peer', hostId: 'b'}}, 200)), []);
	announceFrom(state, 'd', [2], 250);
	t.same(announcementsIn(stepSwarm(state, {type: 'tick'}, 399)), []);
	t.same(announcementsIn(stepSwarm(state, {type: 'tick'}, 400)), [{
		type: 'announce', to: ['d'], chunks: [1], isGreeting: false,
	}]);
	t.same(announcementsIn(stepSwarm(state, {type: 'tick'}, 1000)), [], 'nothing is announced twice');
});

// The last chunk arrives while announcements of common ones are still batched. A
// complete host receives no more chunks to announce, so neighbours that lack the
// batched ones would wait needlessly: they are announced with the last chunk.
t.test('announces all batched chunks when the host is complete', async t => {
	const state = createWithNeighbours();
	const all = [0, 1, 2, 3, 4, 5, 6, 7];
	for (const hostId of ['b', 'c']) {
		announceFrom(state, hostId, all, 0);
	}

	const effects = all.flatMap(chunk => stepSwarm(state, {type: 'stored', chunk, source: {type: 'peer', hostId: 'b'}}, 10));
	t.same(announcementsIn(effects), [{
		type: 'announce', to: ['d'], chunks: all, isGreeting: false,
	}]);
	t.match(effects.at(-1), {type: 'complete'});
});

// A neighbour's agent restarts while announcements for it are batched. It greets and
// is sent all chunks of this host; the batched ones must not be announced again.
t.test('answers a greeting with all chunks, including batched ones', async t => {
	const state = createWithNeighbours();
	for (const hostId of ['b', 'c']) {
		announceFrom(state, hostId, [1], 0);
	}

	stepSwarm(state, {type: 'stored', chunk: 1, source: {type: 'peer', hostId: 'b'}}, 100);
	t.same(announcementsIn(stepSwarm(state, {
		type: 'peerHas', hostId: 'd', chunks: [], isGreeting: true,
	}, 110)), [{
		type: 'announce', to: ['d'], chunks: [1], isGreeting: false,
	}]);
	t.same(announcementsIn(stepSwarm(state, {type: 'tick'}, 2000)), []);
});

// Links are slow, so the origin needs 300 ms for a chunk and serves its eight
// fetchers in turn: each is silent for 2.4 s at a time, longer than the takeover
// time, while the others have progress. If they suspected each other for that,
// chunks in transit would be fetched a second time. A fetcher that stays silent for
// far longer than any silence that ended with progress is still taken over.
t.test('does not suspect fetchers that a slow origin serves in turn', async t => {
	const hostIds = Array.from({length: 9}, (_, index) => `h${index}`);
	const selfId = hostIds.find(hostId => !create('h0', hostIds).state.tickets.fetchers.includes(hostId))!;
	const {state} = create(selfId, hostIds, {totalChunks: 128});
	const {fetchers, owners, suspects} = state.tickets;
	const announcer = hostIds.find(hostId => hostId !== selfId)!;
	const chunksOf = new Map(fetchers.map(fetcher => [fetcher, [...owners.keys()].filter(chunk => owners[chunk] === fetcher)]));
	let nowMs = 0;
	const serveInTurn = (served: readonly string[], rounds: number): void => {
		for (let turn = 0; turn < rounds * served.length; turn++) {
			nowMs += 300;
			announceFrom(state, announcer, [chunksOf.get(served[turn % served.length]!)!.pop()!], nowMs);
			stepSwarm(state, {type: 'tick'}, nowMs);
		}
	};

	serveInTurn(fetchers, 4);
	t.same([...suspects], []);
	serveInTurn(fetchers.slice(1), 3);
	t.same([...suspects], [fetchers[0]]);
});

// Hosts become ready one after the other, and with each change of the catalog the
// agents receive the same peers again. The state must not be reset: a crashed
// fetcher would have to be detected again, and every agent would rank all chunks at
// the same time.
t.test('ignores an update with the same peers', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const {state} = create('a', hostIds);
	const {tickets} = state;
	tickets.suspects.add('b');
	t.same(stepSwarm(state, {type: 'peersChanged', peers: hostIds.map(hostId => peer(hostId))}, 10), []);
	t.equal(state.tickets, tickets);
	stepSwarm(state, {type: 'peersChanged', peers: hostIds.slice(0, 3).map(hostId => peer(hostId))}, 20);
	t.not(state.tickets, tickets);
	t.notOk(state.tickets.fetchers.includes('d'));
	const afterLoss = state.tickets;
	stepSwarm(state, {type: 'peersChanged', peers: [peer('a'), peer('b', 'z2'), peer('c')]}, 30);
	t.not(state.tickets, afterLoss, 'a peer that moved to another zone is a change');
});

// A host fetches its chunks from the origin and is suspended before it announces
// them. Shortly after, the origin is lost. If the other hosts waited until the
// fetcher is known to have crashed, the only copy would be lost; the next fetchers
// must have fetched them by then.
t.test('refetches chunks that a fetcher has not announced in time', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const suspendedHostChunks = create('a', hostIds).state.tickets.ownChunks;
	const fetched = hostIds.slice(1).flatMap(hostId => {
		const {state} = create(hostId, hostIds, {refetchMs: 1500, greetingWaitMs: 80, maxOriginFetches: 8});
		for (let chunk = 0; chunk < 8; chunk++) {
			if (!suspendedHostChunks.includes(chunk)) {
				stepSwarm(state, {
					type: 'peerHas', hostId: hostIds.find(other => other !== hostId && other !== 'a')!, chunks: [chunk], isGreeting: false,
				}, 100);
			}
		}

		return fetchesIn(stepSwarm(state, {type: 'tick'}, 1550)).filter(({source}) => source.type === 'origin').map(({chunk}) => chunk);
	});
	t.ok(suspendedHostChunks.length > 0);
	t.same(fetched.toSorted((a, b) => a - b), suspendedHostChunks.toSorted((a, b) => a - b), 'each once, by the next fetcher');
});

// A version is created, and the origin is lost before it has sent the first chunk. Six
// seconds later it is back. Counted from the creation, all chunks are overdue, and each
// fetcher would also fetch those of the others: the origin's link would carry every
// chunk several times, and the last one would arrive that much later.
t.test('fetches each chunk once from an origin that returns, except for probes', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const originLostUntilMs = 6000;
	const fetched = hostIds.flatMap(hostId => {
		const {state} = create(hostId, hostIds, {refetchMs: 1500, greetingWaitMs: 80});
		const sent: number[] = [];
		for (let nowMs = 100; nowMs < originLostUntilMs + 1400; nowMs += 100) {
			const requested = fetchesIn(stepSwarm(state, {type: 'tick'}, nowMs));
			for (const {chunk, source} of requested) {
				if (nowMs < originLostUntilMs) {
					stepSwarm(state, {
						type: 'failed', chunk, source, reason: 'unreachable', retryAfterMs: 150,
					}, nowMs);
				} else {
					sent.push(chunk);
					requested.push(...fetchesIn(stepSwarm(state, {type: 'stored', chunk, source}, nowMs)));
				}
			}
		}

		return sent;
	});
	t.equal(new Set(fetched).size, 8, 'all chunks are fetched');
	const withoutOwnChunks = hostIds.filter(hostId => create(hostId, hostIds).state.tickets.ownChunks.length === 0);
	t.ok(fetched.length <= 8 + withoutOwnChunks.length, `${fetched.length} fetches; each host without own chunks probes once`);
});

// Links between zones are slow. One host of a zone fetches a chunk over them, and the
// others fetch it from that host; if it does not, the next host takes its turn.
t.test('imports a chunk into a zone through one host', async t => {
	const peers = [peer('far', 'z2'), peer('n1'), peer('n2'), peer('n3')];
	const importers = (nowMs: number) => ['n1', 'n2', 'n3'].flatMap(hostId => {
		const {state} = createSwarm({
			self: peer(hostId), manifestId: 'm', totalChunks: 8, held: [], peers, random: createRandom(3), nowMs: 0, importWaitMs: 300, maxFetches: 8, maxFetchesPerPeer: 8,
		});
		const effects = [
			...stepSwarm(state, {
				type: 'peerHas', hostId: 'far', chunks: [0, 1, 2, 3, 4, 5, 6, 7], isGreeting: true,
			}, 0),
			...stepSwarm(state, {type: 'tick'}, nowMs),
		];
		return fetchesIn(effects).filter(({source}) => source.type === 'peer').map(({chunk}) => chunk);
	});
	t.same(importers(10).toSorted((a, b) => a - b), [0, 1, 2, 3, 4, 5, 6, 7]);
	t.equal(importers(310).length, 16, 'the second host in turn no longer waits');
});

// The origin is in one zone; hosts of three zones share its chunks. A chunk fetched from
// another zone is transferred into that zone, from there to the third, and back to the origin's
// own: a copy is transferred between zones nearly three times instead of twice, and each transfer is charged.
t.test('hosts in the zone of the origin fetch its chunks, and the others do if they fail', async t => {
	const peers = ['a', 'b', 'c', 'd', 'e', 'f'].map(hostId => ({hostId, zoneId: hostId < 'd' ? 'near' : 'far', regionId: 'r'}));
	const createIn = (hostId: string, minHosts: number): SwarmState => createSwarm({
		self: peers.find(candidate => candidate.hostId === hostId)!, manifestId: 'm', totalChunks: 24, held: [], peers, random: createRandom(3), nowMs: 0,
		nearOriginFetchers: {zoneId: 'near', minHosts},
	}).state;
	const owned = (minHosts: number): number[] => peers.map(({hostId}) => createIn(hostId, minHosts).tickets.ownChunks.length);
	t.same(owned(3).slice(3), [0, 0, 0], 'nothing is fetched from another zone');
	t.equal(owned(3).reduce((sum, count) => sum + count, 0), 24, 'every chunk has one owner');
	t.ok(owned(4).slice(3).every(count => count > 0), 'three links cannot carry what the origin sends, so all hosts fetch');
	const far = createIn('d', 3);
	t.ok(far.tickets.fetchers.includes('d'));
	t.ok(far.tickets.ranks.every(rank => rank >= 3), 'it ranks after all hosts of the origin zone');
});

// A host fetches chunks from the origin and is suspended for four seconds. Its
// neighbours' fetches fail four times in a row, so they exclude it for half a minute;
// the origin is lost meanwhile. The host resumes and greets them: the chunks that only
// this host has must become available again.
t.test('readmits an excluded neighbour as soon as it greets', async t => {
	const {state} = create('a', ['b'], {totalChunks: 2, maxNeighbours: 2});
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1], isGreeting: true,
	}, 10);
	let nowMs = 10;
	while (state.neighbours.has('b')) {
		nowMs += 5000;
		for (const {chunk, source} of fetchesIn(stepSwarm(state, {type: 'tick'}, nowMs)).filter(({source: {type}}) => type === 'peer')) {
			stepSwarm(state, {
				type: 'failed', chunk, source, reason: 'unreachable',
			}, nowMs);
		}
	}

	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0], isGreeting: false,
	}, nowMs);
	t.notOk(state.neighbours.has('b'), 'an announcement without a greeting does not count');
	const effects = stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1], isGreeting: true,
	}, nowMs + 10);
	t.match(fetchesIn(effects).map(({source}) => source), [{type: 'peer', hostId: 'b'}], 'its chunk is requested at once');
});

// Hosts exchange the chunks that they have of a version, and the origin is lost. Caller
// retries would otherwise be held for engines that cannot become ready.
t.test('the remaining chunks are available while hosts have them or the origin sends', async t => {
	const {state} = create('a', ['b'], {totalChunks: 3});
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1], isGreeting: true,
	}, 100);
	t.ok(isRemainderAvailable(state, 400), 'a chunk that no host had was announced recently');
	stepSwarm(state, {type: 'stored', chunk: 0, source: {type: 'peer', hostId: 'b'}}, 900);
	t.notOk(isRemainderAvailable(state, 1000), 'exchanges among hosts do not make the third chunk available');
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [2], isGreeting: false,
	}, 1100);
	t.ok(isRemainderAvailable(state, 5000), 'each chunk is held by some host');
});
