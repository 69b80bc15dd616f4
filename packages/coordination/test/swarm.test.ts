import t from 'tap';
import {
	admitUpload, createRandom, createSwarm, createUploads, finishUpload, isRestInReach, stepSwarm, type SwarmEffect, type SwarmOptions, type SwarmPeer, type SwarmState,
} from '@bitternpaddle/coordination';

const peer = (hostId: string, zoneId = 'z1'): SwarmPeer => ({hostId, zoneId, regionId: 'r1'});

const create = (selfId: string, hostIds: readonly string[], options: Partial<SwarmOptions> = {}): {state: SwarmState; effects: SwarmEffect[]} => createSwarm({
	self: peer(selfId), manifestId: 'm', totalChunks: 8, held: [], peers: hostIds.map(hostId => peer(hostId)), random: createRandom(3), nowMs: 0, ...options,
});

const fetchesOf = (effects: readonly SwarmEffect[]) => effects.filter(effect => effect.type === 'fetch');

t.test('each chunk has one owner at the origin among the living', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const owned = hostIds.flatMap(hostId => [...create(hostId, hostIds).state.tickets.ownChunks]);
	t.same(owned.toSorted((a, b) => a - b), [0, 1, 2, 3, 4, 5, 6, 7]);
	const withoutA = hostIds.slice(1).flatMap(hostId => [...create(hostId, hostIds.slice(1)).state.tickets.ownChunks]);
	t.same(withoutA.toSorted((a, b) => a - b), [0, 1, 2, 3, 4, 5, 6, 7]);
});

// The host that owns some chunks dies while the others get theirs. Control
// has not noticed. The others see chunks of every owner but that one arrive;
// after the takeover time each of its chunks has exactly one new owner.
t.test('chunks of a drawer without progress are taken over once', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const dead = create('a', hostIds).state.tickets.ownChunks;
	const states = hostIds.slice(1).map(hostId => create(hostId, hostIds).state);
	const taken: number[] = [];
	for (const state of states) {
		for (let nowMs = 0; nowMs <= 3000; nowMs += 500) {
			const chunk = nowMs / 500;
			if (!dead.includes(chunk)) {
				stepSwarm(state, {
					type: 'peerHas', hostId: hostIds.find(hostId => hostId !== state.options.self.hostId)!, chunks: [chunk], isGreeting: false,
				}, nowMs);
			}

			const drawn = fetchesOf(stepSwarm(state, {type: 'tick'}, nowMs));
			taken.push(...drawn.filter(({source}) => source.type === 'origin').map(({chunk}) => chunk).filter(chunk => dead.includes(chunk)));
		}
	}

	t.ok(dead.length > 0);
	t.same(taken.toSorted((a, b) => a - b), dead.toSorted((a, b) => a - b));
});

// The origin is cut for all at once. Nobody has progress, so nobody is blamed:
// if all took over from all, every chunk would leave the origin several times
// once it is back.
t.test('a cut origin makes nobody take over', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const {state} = create('a', hostIds);
	const own = state.tickets.ownChunks.length;
	for (let nowMs = 0; nowMs <= 60_000; nowMs += 500) {
		for (const {chunk, source} of fetchesOf(stepSwarm(state, {type: 'tick'}, nowMs))) {
			stepSwarm(state, {
				type: 'failed', chunk, source, reason: 'unreachable',
			}, nowMs);
		}
	}

	t.equal(state.tickets.suspects.size, 0);
	t.equal(state.tickets.ownChunks.length + state.originFetches, own);
});

t.test('the rarest chunk is fetched first', async t => {
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
	t.match(fetchesOf(stepSwarm(state, {type: 'tick'}, 2)), [{chunk: 3, source: {type: 'peer', hostId: 'c'}}]);
});

// A host claims chunks that it does not have. Each such claim costs a fetch;
// after three the host is put aside and never asked again.
t.test('a peer that lies about its chunks is put aside', async t => {
	const {state} = create('a', ['a', 'b'], {maxOriginFetches: 0, maxFetchesPerPeer: 1});
	const pending = [...stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1, 2, 3, 4], isGreeting: false,
	}, 0)];
	let asked = 0;
	for (let nowMs = 0; nowMs < 60_000; nowMs += 1000) {
		for (let effect = pending.shift(); effect !== undefined; effect = pending.shift()) {
			if (effect.type === 'fetch' && effect.source.type === 'peer') {
				asked++;
				pending.push(...stepSwarm(state, {
					type: 'failed', chunk: effect.chunk, source: effect.source, reason: 'missing',
				}, nowMs));
			}
		}

		pending.push(...stepSwarm(state, {type: 'tick'}, nowMs));
	}

	t.equal(asked, 3);
	t.notOk(state.neighbours.has('b'));
});

// A link stalls without an error. The fetch is given up after a multiple of
// the usual time, and the chunk comes from the next host that has it.
t.test('a stalled fetch goes to another neighbour', async t => {
	const {state} = create('a', ['a', 'b', 'c'], {maxFetches: 1, maxOriginFetches: 0});
	const [first] = fetchesOf(stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0], isGreeting: false,
	}, 0));
	t.match(first, {source: {hostId: 'b'}});
	stepSwarm(state, {
		type: 'peerHas', hostId: 'c', chunks: [0], isGreeting: false,
	}, 0);
	const effects = stepSwarm(state, {type: 'tick'}, 6000);
	t.match(effects, [{type: 'cancel', source: {hostId: 'b'}}, {type: 'fetch', source: {hostId: 'c'}}]);
});

t.test('uploads are bounded in all and for each peer', async t => {
	const uploads = createUploads({maxUploads: 3, maxPerPeer: 2});
	t.same(['a', 'a', 'a', 'b', 'c'].map(peerId => admitUpload(uploads, peerId)), [true, true, false, true, false]);
	finishUpload(uploads, 'a');
	t.ok(admitUpload(uploads, 'c'));
});

const announcesOf = (effects: readonly SwarmEffect[]) => effects.filter(effect => effect.type === 'announce');

const tellOf = (state: SwarmState, hostId: string, chunks: readonly number[], nowMs: number): SwarmEffect[] => stepSwarm(state, {
	type: 'peerHas', hostId, chunks, isGreeting: false,
}, nowMs);

/** `a` beside `b`, `c` and `d`, which have all been heard; its fetches are started by hand. */
const createHeard = (): SwarmState => {
	const {state} = create('a', ['a', 'b', 'c', 'd'], {maxOriginFetches: 0, maxFetches: 0});
	for (const hostId of ['b', 'c', 'd']) {
		tellOf(state, hostId, [], 0);
	}

	state.typicalFetchMs = 300;
	return state;
};

t.test('a rare chunk is announced at once, and only to those that lack it', async t => {
	const state = createHeard();
	tellOf(state, 'b', [1], 0);
	t.same(announcesOf(stepSwarm(state, {type: 'stored', chunk: 1, source: {type: 'peer', hostId: 'b'}}, 10)), [{
		type: 'announce', to: ['c', 'd'], chunks: [1], isGreeting: false,
	}]);
});

// Two common chunks arrive one after the other. One message a chunk and
// neighbour took most of an agent's processor time during a burst, so both go
// out together; `d`, which got one of them elsewhere meanwhile, is told of the
// other alone.
t.test('common chunks are announced together', async t => {
	const state = createHeard();
	for (const hostId of ['b', 'c']) {
		tellOf(state, hostId, [1, 2], 0);
	}

	t.same(announcesOf(stepSwarm(state, {type: 'stored', chunk: 1, source: {type: 'peer', hostId: 'b'}}, 100)), []);
	t.same(announcesOf(stepSwarm(state, {type: 'stored', chunk: 2, source: {type: 'peer', hostId: 'b'}}, 200)), []);
	tellOf(state, 'd', [2], 250);
	t.same(announcesOf(stepSwarm(state, {type: 'tick'}, 399)), []);
	t.same(announcesOf(stepSwarm(state, {type: 'tick'}, 400)), [{
		type: 'announce', to: ['d'], chunks: [1], isGreeting: false,
	}]);
	t.same(announcesOf(stepSwarm(state, {type: 'tick'}, 1000)), [], 'nothing is told twice');
});

// The last chunk arrives while common ones are still held back. A complete
// host gains nothing more that would carry them, so a neighbour that lacks
// them would wait for nothing: they go out with the last chunk.
t.test('a complete host holds no announcement back', async t => {
	const state = createHeard();
	const all = [0, 1, 2, 3, 4, 5, 6, 7];
	for (const hostId of ['b', 'c']) {
		tellOf(state, hostId, all, 0);
	}

	const effects = all.flatMap(chunk => stepSwarm(state, {type: 'stored', chunk, source: {type: 'peer', hostId: 'b'}}, 10));
	t.same(announcesOf(effects), [{
		type: 'announce', to: ['d'], chunks: all, isGreeting: false,
	}]);
	t.match(effects.at(-1), {type: 'complete'});
});

// A neighbour's agent restarts while chunks for it are held back. It greets and
// is told all that is here; the held-back ones must not be sent again.
t.test('a greeting is answered with what was held back', async t => {
	const state = createHeard();
	for (const hostId of ['b', 'c']) {
		tellOf(state, hostId, [1], 0);
	}

	stepSwarm(state, {type: 'stored', chunk: 1, source: {type: 'peer', hostId: 'b'}}, 100);
	t.same(announcesOf(stepSwarm(state, {
		type: 'peerHas', hostId: 'd', chunks: [], isGreeting: true,
	}, 110)), [{
		type: 'announce', to: ['d'], chunks: [1], isGreeting: false,
	}]);
	t.same(announcesOf(stepSwarm(state, {type: 'tick'}, 2000)), []);
});

// Links are slow, so the origin needs 300 ms for a chunk and serves its eight
// drawers in turn: each is silent for 2.4 s at a time, longer than the takeover
// time, while the others have progress. If they suspected each other for it,
// chunks that are on their way would be drawn a second time. A drawer that
// stays silent for far longer than any came back from is still taken over.
t.test('drawers that a slow origin serves in turn are not suspected', async t => {
	const hostIds = Array.from({length: 9}, (_, index) => `h${index}`);
	const selfId = hostIds.find(hostId => !create('h0', hostIds).state.tickets.drawers.includes(hostId))!;
	const {state} = create(selfId, hostIds, {totalChunks: 128});
	const {drawers, owners, suspects} = state.tickets;
	const teller = hostIds.find(hostId => hostId !== selfId)!;
	const chunksOf = new Map(drawers.map(drawer => [drawer, [...owners.keys()].filter(chunk => owners[chunk] === drawer)]));
	let nowMs = 0;
	const serveInTurn = (served: readonly string[], rounds: number): void => {
		for (let turn = 0; turn < rounds * served.length; turn++) {
			nowMs += 300;
			tellOf(state, teller, [chunksOf.get(served[turn % served.length]!)!.pop()!], nowMs);
			stepSwarm(state, {type: 'tick'}, nowMs);
		}
	};

	serveInTurn(drawers, 4);
	t.same([...suspects], []);
	serveInTurn(drawers.slice(1), 3);
	t.same([...suspects], [drawers[0]]);
});

// Hosts become ready one after the other, and each time the catalog changes the
// agents are given the same peers again. Nothing may start anew for it: a dead
// drawer that was found out would have to be found out again, and every agent
// would rank all chunks at the same moment.
t.test('the same peers again change nothing', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const {state} = create('a', hostIds);
	const {tickets} = state;
	tickets.suspects.add('b');
	t.same(stepSwarm(state, {type: 'peersChanged', peers: hostIds.map(hostId => peer(hostId))}, 10), []);
	t.equal(state.tickets, tickets);
	stepSwarm(state, {type: 'peersChanged', peers: hostIds.slice(0, 3).map(hostId => peer(hostId))}, 20);
	t.not(state.tickets, tickets);
	t.notOk(state.tickets.drawers.includes('d'));
	const afterLoss = state.tickets;
	stepSwarm(state, {type: 'peersChanged', peers: [peer('a'), peer('b', 'z2'), peer('c')]}, 30);
	t.not(state.tickets, afterLoss, 'a peer that moved is another peer');
});

// A host draws its chunks from the origin and freezes before it has shown them.
// The origin is lost a moment later. Whoever waited for proof that the drawer is
// dead finds the only copy gone; the next drawers must have drawn them by then.
t.test('what a drawer has not shown in time is drawn by the next', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const frozen = create('a', hostIds).state.tickets.ownChunks;
	const drawn = hostIds.slice(1).flatMap(hostId => {
		const {state} = create(hostId, hostIds, {redrawMs: 1500, greetingWaitMs: 80, maxOriginFetches: 8});
		for (let chunk = 0; chunk < 8; chunk++) {
			if (!frozen.includes(chunk)) {
				stepSwarm(state, {
					type: 'peerHas', hostId: hostIds.find(other => other !== hostId && other !== 'a')!, chunks: [chunk], isGreeting: false,
				}, 100);
			}
		}

		return fetchesOf(stepSwarm(state, {type: 'tick'}, 1550)).filter(({source}) => source.type === 'origin').map(({chunk}) => chunk);
	});
	t.ok(frozen.length > 0);
	t.same(drawn.toSorted((a, b) => a - b), frozen.toSorted((a, b) => a - b), 'each once, by the next in turn');
});

// A version is named, and the origin is lost before its first chunk is out. Six seconds
// later it is back. Counted from the naming all chunks are overdue, and each drawer would
// draw those of the others, too: the origin's link carries every chunk several times,
// and the last one comes that much later.
t.test('an origin that comes back sends each chunk once, but for what asks whether it is back', async t => {
	const hostIds = ['a', 'b', 'c', 'd'];
	const lostUntilMs = 6000;
	const drawn = hostIds.flatMap(hostId => {
		const {state} = create(hostId, hostIds, {redrawMs: 1500, greetingWaitMs: 80});
		const sent: number[] = [];
		for (let nowMs = 100; nowMs < lostUntilMs + 1400; nowMs += 100) {
			const asked = fetchesOf(stepSwarm(state, {type: 'tick'}, nowMs));
			for (const {chunk, source} of asked) {
				if (nowMs < lostUntilMs) {
					stepSwarm(state, {
						type: 'failed', chunk, source, reason: 'unreachable', retryAfterMs: 150,
					}, nowMs);
				} else {
					sent.push(chunk);
					asked.push(...fetchesOf(stepSwarm(state, {type: 'stored', chunk, source}, nowMs)));
				}
			}
		}

		return sent;
	});
	t.equal(new Set(drawn).size, 8, 'all are drawn');
	const idle = hostIds.filter(hostId => create(hostId, hostIds).state.tickets.ownChunks.length === 0);
	t.ok(drawn.length <= 8 + idle.length, `${drawn.length} draws; who owns none asks for one`);
});

// Links between zones are narrow. Of the hosts of a zone one fetches a chunk over
// them, and the others from that one; if it does not, the next takes its turn.
t.test('a chunk is brought into a zone by one host', async t => {
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
		return fetchesOf(effects).filter(({source}) => source.type === 'peer').map(({chunk}) => chunk);
	});
	t.same(importers(10).toSorted((a, b) => a - b), [0, 1, 2, 3, 4, 5, 6, 7]);
	t.equal(importers(310).length, 16, 'the second in turn no longer waits');
});

// The origin stands in one zone; hosts of three zones share its chunks. A chunk drawn
// from another zone crosses into it, out of it to the third, and back to the origin's
// own: a copy crosses nearly three times where two would do, and those are paid for.
t.test('hosts beside the origin draw its chunks, and the others if they fail', async t => {
	const peers = ['a', 'b', 'c', 'd', 'e', 'f'].map(hostId => ({hostId, zoneId: hostId < 'd' ? 'near' : 'far', regionId: 'r'}));
	const createIn = (hostId: string, least: number): SwarmState => createSwarm({
		self: peers.find(candidate => candidate.hostId === hostId)!, manifestId: 'm', totalChunks: 24, held: [], peers, random: createRandom(3), nowMs: 0,
		nearDrawers: {zoneId: 'near', least},
	}).state;
	const owned = (least: number): number[] => peers.map(({hostId}) => createIn(hostId, least).tickets.ownChunks.length);
	t.same(owned(3).slice(3), [0, 0, 0], 'nothing is drawn from another zone');
	t.equal(owned(3).reduce((sum, count) => sum + count, 0), 24, 'every chunk has one owner');
	t.ok(owned(4).slice(3).every(count => count > 0), 'three links do not carry what the origin sends: all draw');
	const far = createIn('d', 3);
	t.ok(far.tickets.drawers.includes('d'));
	t.ok(far.tickets.ranks.every(rank => rank >= 3), 'it comes behind all that are near');
});

// A host draws chunks from the origin and freezes for four seconds. Its neighbours ask
// it in vain, four times in a row, and leave it out for half a minute; the origin is
// lost meanwhile. It wakes and greets them: what it alone has drawn must be had again.
t.test('a neighbour that was given up is one again as soon as it greets', async t => {
	const {state} = create('a', ['b'], {totalChunks: 2, maxNeighbours: 2});
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1], isGreeting: true,
	}, 10);
	let nowMs = 10;
	while (state.neighbours.has('b')) {
		nowMs += 5000;
		for (const {chunk, source} of fetchesOf(stepSwarm(state, {type: 'tick'}, nowMs)).filter(({source: {type}}) => type === 'peer')) {
			stepSwarm(state, {
				type: 'failed', chunk, source, reason: 'unreachable',
			}, nowMs);
		}
	}

	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0], isGreeting: false,
	}, nowMs);
	t.notOk(state.neighbours.has('b'), 'its word alone does not count');
	const effects = stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1], isGreeting: true,
	}, nowMs + 10);
	t.match(fetchesOf(effects).map(({source}) => source), [{type: 'peer', hostId: 'b'}], 'it is asked at once');
});

// Hosts pass on among themselves what they have of a version, and the origin is lost.
// Callers that came back would be held for engines that nothing can make ready.
t.test('the rest is in reach while hosts have it or the origin sends', async t => {
	const {state} = create('a', ['b'], {totalChunks: 3});
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [0, 1], isGreeting: true,
	}, 100);
	t.ok(isRestInReach(state, 400), 'a chunk that nobody had was shown a moment ago');
	stepSwarm(state, {type: 'stored', chunk: 0, source: {type: 'peer', hostId: 'b'}}, 900);
	t.notOk(isRestInReach(state, 1000), 'what is passed on says nothing of the third');
	stepSwarm(state, {
		type: 'peerHas', hostId: 'b', chunks: [2], isGreeting: false,
	}, 1100);
	t.ok(isRestInReach(state, 5000), 'all chunks are at some host');
});
