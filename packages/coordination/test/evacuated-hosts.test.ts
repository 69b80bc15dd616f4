import t from 'tap';
import {
	applyChange, changeSchema, createCatalog, type CatalogChange,
} from '@bitternpaddle/state';
import {
	changedHostIds, chooseEndpoint, createRandom, createRouter, inFlightOn, recordStart, updateRouter,
} from '@bitternpaddle/coordination';

// A plain endpoint has no assignment that an evacuation could release. An entry in the
// evacuated zone prefers the endpoint of its own zone and would go on sending to it.
t.test('a plain endpoint of an evacuated zone gets no new requests until the zone is restored, and what runs counts', async t => {
	const catalog = createCatalog();
	const router = createRouter({
		entryId: 'e1', zoneId: 'z1', regionId: 'r', random: createRandom(7),
	});
	const apply = (fields: Record<string, unknown>): void => {
		const change = changeSchema.parse(fields) as CatalogChange;
		t.equal(applyChange(catalog, change, catalog.revision + 1), null);
		updateRouter(router, catalog, changedHostIds([change]), catalog.revision);
	};

	const choose = (): unknown => {
		const choice = chooseEndpoint(router, {target: {type: 'service', serviceId: 's'}, tried: new Set()}, catalog.revision);
		return choice.type === 'chosen' ? choice.endpoint.hostId : choice.type;
	};

	for (const zoneId of ['z1', 'z2']) {
		apply({
			type: 'hostJoined',
			announcement: {
				hostId: `h-${zoneId}`, zoneId, regionId: 'r', serviceId: 's', provider: 'p', address: '127.0.0.1:1', capacity: 4, incarnation: 1, kind: 'plain',
			},
		});
	}

	t.equal(choose(), 'h-z1');
	recordStart(router, 'h-z1', 3);
	apply({type: 'evacuateZone', zoneId: 'z1'});
	t.equal(choose(), 'h-z2');
	t.equal(inFlightOn(router, 'h-z1'), 1);
	apply({type: 'evacuateZone', zoneId: 'z2'});
	t.equal(choose(), 'noEndpoint', 'with all zones evacuated, requests are refused instead of waiting');
	apply({type: 'restoreZone', zoneId: 'z1'});
	t.equal(choose(), 'h-z1');
});
