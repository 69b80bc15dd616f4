import t from 'tap';
import {
	checkConfiguration, checkRegions, createRouteTable, findRoute, type Route, type RoutingConfiguration, type Team,
} from '@bitternpaddle/state';

const route = (name: string, fields: Partial<Route> = {}): Route => ({
	name, host: 'a.example', prefix: `/${name}/`, retryClass: 'safe', timeoutMs: 1000, objectiveMs: 100, pauseObjectiveMs: null, priority: 1,
	targets: [{serviceName: 's', weight: 1}], maxAttempts: 2, isPublic: false, isResumable: false, ...fields,
});

const configuration = (fields: Partial<RoutingConfiguration> = {}): RoutingConfiguration => ({
	number: 1, routes: [route('r')], services: [{
		name: 's', maxConnections: 10, engine: null, origin: null,
	}], limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	}, teams: null, ...fields,
});

t.test('the host\'s route with the longest prefix is selected', async t => {
	const routes = [route('all', {prefix: '/'}), route('deep', {prefix: '/a/b/'}), route('a', {prefix: '/a/'}), route('other', {host: 'b.example'})];
	const table = createRouteTable(configuration({routes}));
	const nameAt = (host: string, path: string) => findRoute(table, host, path)?.name;
	t.equal(nameAt('a.example', '/a/b/c'), 'deep');
	t.equal(nameAt('A.example:80', '/a/bc'), 'a');
	t.equal(nameAt('a.example', '/a'), 'all');
	t.equal(nameAt('c.example', '/a/'), undefined);
});

t.test('each problem of a configuration is reported', async t => {
	t.same(checkConfiguration(configuration()), []);
	t.match(checkConfiguration(configuration({routes: [route('r', {targets: [{serviceName: 'x', weight: 1}]})]})), [/unknown service x/v]);
	t.match(checkConfiguration(configuration({routes: [route('r', {targets: [{serviceName: 's', weight: 0}]})]})), [/add up to 0/v]);
	t.match(checkConfiguration(configuration({routes: [route('r', {timeoutMs: 0})]})), [/timeout 0/v]);
	t.match(checkConfiguration(configuration({routes: [route('r'), route('q', {prefix: '/r/'})]})), [/two routes share/v]);
	t.match(checkConfiguration(configuration({teams: [{name: 'a', keys: ['k'], priority: null}, {name: 'b', keys: ['k'], priority: null}]})), [/share a key/v]);
});

// Guards against requests that are refused for good because of a typing error in a valid configuration.
t.test('lists of regions that are unknown or exclude each other are found', async t => {
	const team = (name: string, allowedRegionIds: readonly string[]): Team => ({
		name, keys: [name], priority: null, allowedRegionIds,
	});
	const routes = [route('free'), route('listed', {allowedRegionIds: ['r1', 'r9']}), route('public', {allowedRegionIds: ['r1'], isPublic: true})];
	const check = (teams: readonly Team[] | null) => checkRegions(configuration({routes, teams}), new Set(['r1', 'r2']));
	const unknown = {
		type: 'unknownRegions', routeName: 'listed', teamName: null, regionIds: ['r9'],
	};
	t.same(check(null), [unknown]);
	t.same(check([team('free', []), team('same', ['r1', 'r2'])]), [unknown]);
	t.same(check([team('other', ['r2']), team('typo', ['r1', 'r8'])]), [unknown, {
		type: 'exclusiveLists', routeName: 'listed', teamName: 'other', routeRegionIds: ['r1', 'r9'], teamRegionIds: ['r2'],
	}, {
		type: 'unknownRegions', routeName: null, teamName: 'typo', regionIds: ['r8'],
	}], 'the public route has no team');
});
