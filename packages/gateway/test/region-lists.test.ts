import {createRouteTable, type RouteTable} from '@bitternpaddle/state';
import t from 'tap';
import {configurationWith} from './support/zoned-fleet.js';
import {createRegionLists} from '@bitternpaddle/gateway';

const tableWith = (...parameters: Parameters<typeof configurationWith>): RouteTable => createRouteTable(configurationWith(...parameters));

/** The lists of a request that arrived while `first` was in force. */
const listsFor = (first: RouteTable, path: string, key: string | null) => {
	const state: {table: RouteTable | null} = {table: first};
	const route = [...first.routes.get('a.example')!.values()].find(({prefix}) => path.startsWith(prefix) && prefix !== '/')!;
	const team = key === null ? null : first.teamsByKey.get(key)!;
	const lists = createRegionLists({
		table: () => state.table, host: 'a.example', path, route, team, key,
	});
	return {state, lists};
};

// Guards against applying the lists of the request's arrival after the configuration has changed.
t.test('the lists are those of the newest configuration', async t => {
	const {state, lists} = listsFor(tableWith(1, {routeRegions: ['r1']}), '/listed/x', null);
	t.same(lists(), {route: ['r1'], team: []});
	state.table = tableWith(2, {routeRegions: ['r2', 'r3']});
	t.same(lists(), {route: ['r2', 'r3'], team: []});
	t.equal(lists(), lists(), 'computed once for each configuration');
});

t.test('the list of the team applies to requests with a key', async t => {
	const {state, lists} = listsFor(tableWith(1), '/keyed/x', 'k');
	t.same(lists(), {route: [], team: []});
	state.table = tableWith(2, {teamRegions: ['r2']});
	t.same(lists(), {route: [], team: ['r2']});
});

// Guards against lifting a restriction because the route was replaced or removed while the request waited.
t.test('a route that is replaced or removed does not lift the restriction', async t => {
	const {state, lists} = listsFor(tableWith(1, {routeRegions: ['r1']}), '/listed/x', null);
	const {routes, ...rest} = configurationWith(2, {routeRegions: ['r1']});
	state.table = createRouteTable({...rest, routes: [{...routes[1]!, name: 'renamed', allowedRegionIds: ['r3']}]});
	t.same(lists().route, ['r3'], 'the route that matches now applies');
	state.table = createRouteTable({...rest, routes: []});
	t.same(lists().route, ['r1'], 'without a route, the list known on arrival applies');
});
