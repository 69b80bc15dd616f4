import {createRouteTable} from '@bitternpaddle/state';
import t from 'tap';
import {configurationWith} from './support/zoned-fleet.js';
import {createRegionLists} from '@bitternpaddle/gateway';

// Guards against lifting a restriction because its route was replaced or removed while the request waited.
t.test('the lists are those of the route and team that the newest configuration assigns', async t => {
	const first = configurationWith(1, ['r1'], ['r1', 'r2']);
	const state = {table: createRouteTable(first)};
	const lists = createRegionLists({
		table: () => state.table, matchedIn: state.table, host: 'a.example', path: '/listed/x', route: first.routes[1]!, team: first.teams![0]!, key: 'k',
	});
	t.same(lists(), {route: ['r1'], team: ['r1', 'r2']});
	t.equal(lists(), lists(), 'computed once for each configuration');
	const second = configurationWith(2, ['r3'], ['r4']);
	state.table = createRouteTable({...second, routes: [{...second.routes[1]!, name: 'renamed'}]});
	t.same(lists(), {route: ['r3'], team: ['r4']});
	state.table = createRouteTable({...second, routes: [], teams: []});
	t.same(lists(), {route: ['r1'], team: ['r1', 'r2']}, 'without a route or key, the lists known on arrival apply');
});
