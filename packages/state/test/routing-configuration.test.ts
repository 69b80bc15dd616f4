import t from 'tap';
import {
	checkConfiguration, createRouteTable, findRoute, type Route, type RoutingConfiguration,
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
