import t from 'tap';
import {configurationWith} from './support/zoned-fleet.js';
import {createEndpointView, createPermission} from '@bitternpaddle/gateway';

// Guards against the cost of counting the demand of each zone in deployments without lists.
t.test('the demand by zone is kept only while a route or a team has a list', async t => {
	const view = createEndpointView({onRestart: () => undefined});
	view.recordAnnouncements(['z1', 'z2'].map(zoneId => ({
		id: zoneId, serviceName: 's', address: `${zoneId}:80`, zoneId, slots: 1, state: 'ready', models: [], startedAtMs: 0, sequence: 1, ageMs: 0,
	})), 0);
	const endpoints = view.candidates('s', 0);
	const permission = createPermission({evacuatedZoneIds: () => [], regionsByZone: new Map()});
	const shares = [configurationWith(1), configurationWith(2, [], ['r1']), configurationWith(3)].map(configuration => {
		permission.applyConfiguration(configuration);
		permission.recordDemand('s', endpoints, 0);
		return permission.demandShare('s', endpoints.slice(0, 1), 0);
	});
	t.same(shares, [1, 0.5, 1]);
});
