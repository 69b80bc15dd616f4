import t from 'tap';
import {
	parseTrace, replayTrace, type TraceTarget,
} from '@bitternpaddle/test-support';

const nothing = async (): Promise<void> => undefined;

/** A system that accepts everything, answers by `pitch-desk:v1`, and has run each key twice. */
const target: TraceTarget = {
	operator: async () => 'accepted', version: async () => 'accepted', await: nothing, calls: async ({count}) => Array.from({length: count}, () => 'answered pitch-desk:v1'),
	booking: async () => 'answered', runs: () => 2, fault: nothing, serviceFault: () => undefined,
};

const stepsOf = (...steps: object[]) => parseTrace(steps.map(step => JSON.stringify(step)).join('\n'));

t.test('outcomes as stated give no difference', async t => {
	const steps = stepsOf({type: 'operator', line: 'create model a', outcome: 'accepted'}, {type: 'runs', key: 'k', count: 2});
	t.same(await replayTrace(steps, target), []);
});

t.test('each other outcome is told, with its line', async t => {
	const steps = stepsOf(
		{type: 'operator', line: 'create model a', outcome: 'refused'},
		{
			type: 'calls', name: 'c', team: 't', modelId: 'a', count: 3, isStream: true, tokens: 1, outcome: 'answered', versionId: 'pitch-desk:v2',
		},
		{type: 'runs', key: 'k', count: 1},
	);
	t.same(await replayTrace(steps, target), [
		{line: 1, expected: 'refused', actual: 'accepted'},
		{line: 2, expected: '3 x answered pitch-desk:v2', actual: '3 x answered pitch-desk:v1'},
		{line: 3, expected: '1', actual: '2'},
	]);
});

t.test('a line that is no step is an error', async t => {
	t.throws(() => stepsOf({type: 'operator', line: 'create model a'}));
});
