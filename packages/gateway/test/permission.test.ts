import {createEndpointHealth, createEndpointLoad, type Candidate} from '@bitternpaddle/coordination';
import t from 'tap';
import {configurationWith} from './support/zoned-fleet.js';
import {createPermission} from '@bitternpaddle/gateway';

const endpoint = (zoneId: string): Candidate => ({
	announcement: {
		id: zoneId, serviceName: 's', address: `${zoneId}:80`, zoneId, slots: 1, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
	},
	load: createEndpointLoad(), health: createEndpointHealth(),
});

const all = ['z1', 'z2'].map(zoneId => endpoint(zoneId));

t.test('the demand by zone is kept only while a route or a team has a list', async t => {
	const permission = createPermission({evacuatedZoneIds: () => [], regionsByZone: new Map()});
	const record = (): number => {
		permission.recordDemand('s', all, 0);
		return permission.demandShare('s', all.slice(0, 1), 0);
	};

	permission.applyConfiguration(configurationWith(1));
	t.equal(record(), 1);
	permission.applyConfiguration(configurationWith(2, {teamRegions: ['r1']}));
	t.equal(record(), 0.5);
	t.equal(permission.demandShare('other', all.slice(0, 1), 0), 1, 'each service has its own demand');
	permission.applyConfiguration({...configurationWith(3), teams: null});
	t.equal(record(), 1);
});

t.test('the rules of a request are read anew each time', async t => {
	const state = {evacuatedZoneIds: [] as string[]};
	const permission = createPermission({evacuatedZoneIds: () => state.evacuatedZoneIds, regionsByZone: new Map([['z1', 'r1'], ['z2', 'r2']])});
	const call = {regionLists: () => ({route: ['r1'], team: []})};
	t.equal(permission.exclusionOf(call, endpoint('z1')), null);
	t.same(permission.ruleFields(call), {routeRegions: ['r1']});
	state.evacuatedZoneIds = ['z1'];
	t.equal(permission.exclusionOf(call, endpoint('z1')), 'evacuated');
	t.equal(permission.exclusionOf(call, endpoint('z2')), 'region');
	t.same(permission.permittedEndpoints(call, all), {candidates: [], exclusion: 'evacuated'});
	t.same(permission.ruleFields(call), {evacuatedZones: ['z1'], routeRegions: ['r1']});
});
