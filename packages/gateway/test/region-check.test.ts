import t from 'tap';
import {configurationWith} from './support/zoned-fleet.js';
import {createRegionCheck} from '@bitternpaddle/gateway';

type Line = Readonly<Record<string, unknown>>;

const regionsByZone = new Map([['z1', 'r1'], ['z2', 'r2']]);

const createRecorder = () => {
	const lines: Line[] = [];
	const logger = {
		event(event: string, fields: Line = {}) {
			if (event === 'BP4053') {
				lines.push(fields);
			}
		},
	};
	return {lines, logger};
};

const unknownRegion = {
	number: 1, problem: 'unknownRegions', routeName: 'listed', teamName: null, regionIds: ['r9'],
};

t.test('unknown regions of a stored configuration are logged with their route', async t => {
	const {lines, logger} = createRecorder();
	createRegionCheck({regionsByZone, logger})(configurationWith(1, ['r1', 'r9']));
	t.same(lines, [unknownRegion]);
});

t.test('the number of lines for one configuration is limited', async t => {
	const {lines, logger} = createRecorder();
	const check = createRegionCheck({regionsByZone, logger});
	const {routes, ...rest} = configurationWith(1, ['r9']);
	check({...rest, routes: Array.from({length: 50}, () => routes[1]!)});
	t.equal(lines.length, 20);
	t.equal(lines.at(-1)!.omittedCount, 30);
	check(configurationWith(2, ['r1']));
	t.equal(lines.length, 20, 'a list of known regions is not logged');
});
