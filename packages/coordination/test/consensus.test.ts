import type {LogEntry} from '@bitternpaddle/state';
import t from 'tap';
import {
	createConsensus, createRandom, hasLeaderLease, stepConsensus, type ConsensusEffect, type ConsensusEvent, type ConsensusState,
} from '@bitternpaddle/coordination';

const voters = ['a', 'b', 'c'];

type Network = {
	readonly states: Map<string, ConsensusState>;
	readonly committed: Map<string, LogEntry[]>;
	readonly cut: Set<string>;
	nowMs: number;
	tokens: number;
};

const createNetwork = (): Network => {
	const states = new Map(voters.map((selfId, index) => [selfId, createConsensus({
		selfId, initialMembers: {voters, learners: []}, hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], random: createRandom(index + 1), nowMs: 0,
	})]));
	return {
		states, committed: new Map(voters.map(id => [id, []])), cut: new Set(), nowMs: 0, tokens: 0,
	};
};

const deliver = (network: Network, selfId: string, event: ConsensusEvent): ConsensusEffect[] => {
	const state = network.states.get(selfId)!;
	const effects = stepConsensus(state, event, network.nowMs);
	for (const effect of effects) {
		if (effect.type === 'send' && !network.cut.has(selfId) && !network.cut.has(effect.to)) {
			deliver(network, effect.to, {type: 'message', from: selfId, message: effect.message});
		} else if (effect.type === 'commit') {
			network.committed.get(selfId)!.push(...effect.entries);
		} else if (effect.type === 'persist' && effect.entries.length > 0) {
			const last = effect.entries.at(-1)!;
			deliver(network, selfId, {type: 'persisted', index: last.index, term: last.term});
		}
	}

	return effects;
};

const run = (network: Network, durationMs: number): void => {
	const endMs = network.nowMs + durationMs;
	while (network.nowMs < endMs) {
		network.nowMs += 25;
		for (const id of voters) {
			deliver(network, id, {type: 'tick'});
		}
	}
};

const leaders = (network: Network): string[] => voters.filter(id => hasLeaderLease(network.states.get(id)!, network.nowMs));

const propose = (network: Network, id: string, commandId: string): ConsensusEffect[] => {
	network.tokens++;
	return deliver(network, id, {
		type: 'propose', token: network.tokens, payload: {type: 'command', command: {commandId: commandId as never, ifRevision: null, change: {type: 'noop'}}},
	});
};

const commandIds = (entries: readonly LogEntry[]): string[] => entries
	.map(entry => entry.payload.type === 'command' ? entry.payload.command.commandId : null)
	.filter(id => id !== null);

t.test('elects one leader, whose changes reach all members', async t => {
	const network = createNetwork();
	run(network, 3000);
	const [leader, ...others] = leaders(network);
	t.equal(others.length, 0);
	propose(network, leader!, 'first');
	run(network, 300);
	for (const id of voters) {
		t.same(commandIds(network.committed.get(id)!), ['first'], id);
	}
});

// A leader is partitioned and still assumes that it leads. It must not accept
// changes; the others elect a leader that does, and when the partition heals the
// old leader's own entry is removed from every log. Its lease expires before the
// others may vote, so there are never two leaders that answer.
t.test('a partitioned leader does not answer, and its entry is replaced', async t => {
	const network = createNetwork();
	run(network, 3000);
	const [oldLeader] = leaders(network);
	network.cut.add(oldLeader!);
	propose(network, oldLeader!, 'lost');
	let maxLeaders = 0;
	for (let step = 0; step < 200; step++) {
		run(network, 25);
		maxLeaders = Math.max(maxLeaders, leaders(network).length);
	}

	t.equal(maxLeaders, 1, 'never two leaders at once');
	const [newLeader] = leaders(network);
	t.not(newLeader, oldLeader);
	propose(network, newLeader!, 'kept');
	run(network, 200);
	network.cut.clear();
	run(network, 2000);
	for (const id of voters) {
		t.same(commandIds(network.committed.get(id)!), ['kept'], id);
	}
});
