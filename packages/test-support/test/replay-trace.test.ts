import t from 'tap';
import {
	parseTrace, replayTrace, type TraceTarget,
} from '@bitternpaddle/test-support';

const doNothing = async (): Promise<void> => undefined;

/** A system that accepts everything, answers with `pitch-desk:v1`, and has run each key twice. */
const target: TraceTarget = {
	operator: async () => 'accepted', version: async () => 'accepted', await: doNothing, calls: async ({count}) => Array.from({length: count}, () => 'answered pitch-desk:v1'),
	booking: async () => 'answered', runs: () => 2, fault: doNothing, serviceFault: () => undefined,
};

const stepsOf = (...steps: object[]) => parseTrace(steps.map(step => JSON.stringify(step)).join('\n'));

t.test('expected outcomes give no difference', async t => {
	const steps = stepsOf({type: 'operator', line: 'create model a', outcome: 'accepted'}, {type: 'runs', key: 'k', count: 2});
	t.same(await replayTrace(steps, target), []);
});

t.test('each unexpected outcome is reported with its line number', async t => {
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

t.test('a line that is not a valid step is an error', async t => {
	t.throws(() => stepsOf({type: 'operator', line: 'create model a'}));
});
