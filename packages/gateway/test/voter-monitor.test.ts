import type {ConsensusState, LossTolerance, VoterPlace} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import t from 'tap';
import {createGatewayMetrics, createVoterMonitor} from '@bitternpaddle/gateway';

type Line = Readonly<Record<string, unknown>>;

const world = (required: LossTolerance, places: ReadonlyMap<string, VoterPlace> = new Map()) => {
	const lines: Line[] = [];
	const state = {
		selfId: 'a#1', role: 'leader', leaderId: 'a#1', members: {voters: ['a#1', 'b#1', 'c#1'], learners: ['m#none-1']},
	};
	let nowMs = 0;
	const logger = {
		event(id: string, fields: Line) {
			lines.push({id, ...fields});
		},
	};
	const metrics = createGatewayMetrics();
	const monitor = createVoterMonitor({
		required, logger, metrics, consensus: () => state as unknown as ConsensusState, placeOf: address => places.get(address) ?? null, nowMs: () => nowMs,
	});
	return {
		lines, state, metrics, monitor,
		run(durationMs: number, each: () => void = () => undefined) {
			for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += 250) {
				each();
				monitor.check();
			}
		},
	};
};

// Guards against a core that bears fewer lost disks than required and says nothing until they are lost.
t.test('too few voters are logged once, and again when their number changes', async t => {
	const {lines, state, metrics, run} = world({hosts: 2, zones: 0, regions: 0});
	run(2000);
	t.same(lines, [], 'members are still being added');
	run(4000);
	t.match(lines, [{
		id: 'BP4067', voters: 'a,b,c', hostsWithDisk: 3, tolerated: {hosts: 1}, required: {hosts: 2},
	}]);
	t.match(await metrics.text(), /bitternpaddle_core_tolerated_losses 1\n[\s\S]*bitternpaddle_core_required_losses 2\n/v);
	state.members.voters.push('d#1', 'e#1');
	run(1000);
	t.match(lines.slice(1), [{id: 'BP4068', voters: 5}]);
});

// Guards against voters of which a single zone holds a majority although zones may be lost.
t.test('voters whose majority is in one zone are logged if a zone may be lost', async t => {
	const {lines, run} = world({hosts: 1, zones: 1, regions: 0}, new Map(['a', 'b', 'c'].map(host => [host, {zoneId: host === 'c' ? 'z2' : 'z1', regionId: 'r'}])));
	run(4000);
	t.match(lines, [{id: 'BP4067', tolerated: {hosts: 1, zones: 0}}]);
});

// Guards against a core without a majority that looks like one that only elects a leader.
t.test('a missing majority is logged with the silent voters and those that lost their disks', async t => {
	const {lines, state, run, monitor} = world({hosts: 1, zones: 0, regions: 0});
	run(1000);
	state.role = 'preCandidate';
	(state as {leaderId: string | null}).leaderId = null;
	run(2000);
	t.match(lines, [{id: 'BP4068'}], 'an election takes a second');
	run(4000, () => {
		monitor.recordStandby('b#2');
	});
	t.match(lines.slice(1), [{
		id: 'BP4069', voters: 3, needed: 2, silent: 'b,c', withOtherDisk: 'b',
	}]);
});
