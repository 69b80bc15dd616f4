import t from 'tap';
import {
	requiredAdaptersOf, applyChange, canonicalJson, changeSchema, createCatalog, maxAdaptersPerVersion, upgradeAdapters, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';

const manifest = (digit: string): string => `sha256:${digit.repeat(64)}`;

const apply = (catalog: Catalog, change: Record<string, unknown>): string | null =>
	applyChange(catalog, changeSchema.parse(change) as CatalogChange, catalog.revision + 1)?.message ?? null;

const createFleetCatalog = (): Catalog => {
	const catalog = createCatalog();
	for (const change of [
		{type: 'createModel', modelId: 'pitch-desk'},
		{type: 'createModel', modelId: 'gate-desk'},
		{type: 'createVersion', versionId: 'pitch-desk:v1', manifestId: manifest('1')},
		{type: 'createVersion', versionId: 'pitch-desk:v2', manifestId: manifest('2')},
		{type: 'createVersion', versionId: 'gate-desk:v1', manifestId: manifest('3')},
		{
			type: 'createFleet', fleetId: 'fair', provider: 'new', versionId: 'pitch-desk:v1', replicas: 1, zoneIds: [],
		},
		{
			type: 'hostJoined', announcement: {
				hostId: 'h1', zoneId: 'tacoma-hall', regionId: 'puget', serviceId: 'bp-writers', provider: 'new', address: '127.0.0.1:1', capacity: 4, incarnation: 1, kind: 'engine',
			},
		},
		{type: 'load', versionId: 'pitch-desk:v1', fleetId: 'fair'},
	]) {
		t.equal(apply(catalog, change), null);
	}

	return catalog;
};

const menuTone = {versionId: 'pitch-desk:v1', adapterId: 'menu-tone'};

t.test('an invalid command about an adapter is refused with the reason', async t => {
	const catalog = createFleetCatalog();
	const create = {type: 'createAdapter', ...menuTone, manifestId: manifest('a')};
	t.equal(apply(catalog, {...create, versionId: 'pitch-desk:v9'}), 'no version pitch-desk:v9');
	t.equal(apply(catalog, create), null);
	t.equal(apply(catalog, create), 'adapter pitch-desk:v1/menu-tone exists already, from the same manifest');
	t.equal(apply(catalog, {...create, manifestId: manifest('b')}), `adapter pitch-desk:v1/menu-tone exists already, from manifest ${manifest('a')}`);
	t.equal(apply(catalog, {...create, versionId: 'pitch-desk:v2', manifestId: manifest('b')}), null, 'the same name to another version');
	t.equal(apply(catalog, {...create, versionId: 'gate-desk:v1'}), null);
	const load = {type: 'loadAdapter', ...menuTone, fleetId: 'fair'};
	t.equal(apply(catalog, {...load, adapterId: 'other'}), 'no adapter pitch-desk:v1/other');
	t.equal(apply(catalog, {...load, fleetId: 'none'}), 'no fleet none');
	t.equal(apply(catalog, {...load, versionId: 'gate-desk:v1'}), 'fleet fair serves pitch-desk, not gate-desk');
	t.equal(apply(catalog, {...load, type: 'unloadAdapter'}), 'fleet fair does not carry adapter pitch-desk:v1/menu-tone');
	t.equal(apply(catalog, load), null);
	t.equal(apply(catalog, {type: 'retireAdapter', ...menuTone}), 'fleet fair still carries adapter pitch-desk:v1/menu-tone; unload or withdraw it first');
	t.equal(apply(catalog, {type: 'load', versionId: 'pitch-desk:v2', fleetId: 'fair'}), null);
	t.equal(apply(catalog, {type: 'retireVersion', versionId: 'pitch-desk:v1'}), 'fleet fair still names pitch-desk:v1');
	t.equal(apply(catalog, {type: 'withdrawAdapter', ...menuTone}), null);
	t.equal(apply(catalog, load), 'adapter pitch-desk:v1/menu-tone is withdrawn');
	t.equal(apply(catalog, {type: 'retireAdapter', ...menuTone}), null);
});

t.test('a version that is the base of adapters is not retired', async t => {
	const catalog = createFleetCatalog();
	const laterTone = {versionId: 'pitch-desk:v2', adapterId: 'menu-tone'};
	apply(catalog, {type: 'createAdapter', ...laterTone, manifestId: manifest('a')});
	apply(catalog, {type: 'loadAdapter', ...laterTone, fleetId: 'fair'});
	t.equal(apply(catalog, {type: 'retireVersion', versionId: 'pitch-desk:v2'}), 'adapter pitch-desk:v2/menu-tone stands on pitch-desk:v2 and is loaded on fleet fair; retire it first');
	apply(catalog, {type: 'unloadAdapter', ...laterTone, fleetId: 'fair'});
	t.equal(apply(catalog, {type: 'retireVersion', versionId: 'pitch-desk:v2'}), 'adapter pitch-desk:v2/menu-tone stands on pitch-desk:v2; retire it first');
});

t.test('a fleet carries a bounded number of adapters of one version', async t => {
	const catalog = createFleetCatalog();
	const refusals = Array.from({length: maxAdaptersPerVersion + 1}, (_, number) => {
		const adapter = {versionId: 'pitch-desk:v1', adapterId: `tone-${number}`};
		apply(catalog, {type: 'createAdapter', ...adapter, manifestId: manifest('a')});
		return apply(catalog, {type: 'loadAdapter', ...adapter, fleetId: 'fair'});
	});
	t.same(refusals.slice(0, -1).filter(refusal => refusal !== null), []);
	t.equal(refusals.at(-1), `fleet fair carries ${maxAdaptersPerVersion} adapters of pitch-desk:v1, the most that it may; unload one first`);
});

// A fleet with an adapter gets another base version. Its hosts must not be required to
// hold the old base's adapter on the new base, and the fencing number must increase
// with every command about either, or engines would refuse it.
t.test('the required adapters belong to the assigned version, and fencing numbers increase', async t => {
	const catalog = createFleetCatalog();
	const fencingNumbers: number[] = [];
	const requiredKeys = (): string[] => {
		const required = requiredAdaptersOf(catalog, 'h1')!;
		fencingNumbers.push(required.fencingNumber);
		return required.adapters.map(({versionId, adapterId}) => `${versionId}/${adapterId}`);
	};

	t.same(requiredKeys(), []);
	apply(catalog, {type: 'createAdapter', ...menuTone, manifestId: manifest('a')});
	apply(catalog, {type: 'loadAdapter', ...menuTone, fleetId: 'fair'});
	t.same(requiredKeys(), ['pitch-desk:v1/menu-tone']);
	apply(catalog, {type: 'load', versionId: 'pitch-desk:v2', fleetId: 'fair'});
	t.same(requiredKeys(), []);
	apply(catalog, {type: 'withdrawVersion', versionId: 'pitch-desk:v2'});
	t.same(requiredKeys(), ['pitch-desk:v1/menu-tone'], 'the adapter returns with its base');
	apply(catalog, {type: 'unloadAdapter', ...menuTone, fleetId: 'fair'});
	t.same(requiredKeys(), []);
	t.same(fencingNumbers, [...new Set(fencingNumbers)].toSorted((a, b) => a - b));
});

t.test('snapshots of the older format for adapters are upgraded', async t => {
	const withoutAdapters = JSON.parse(canonicalJson(createFleetCatalog())) as Partial<Catalog> as Catalog;
	delete (withoutAdapters as Partial<Catalog>).adapters;
	upgradeAdapters(withoutAdapters);
	t.equal(canonicalJson(withoutAdapters), canonicalJson(createFleetCatalog()));
	const keyedByName = createFleetCatalog();
	(keyedByName.adapters as Record<string, unknown>)['menu-tone'] = {versionId: 'pitch-desk:v1', manifestId: manifest('a')};
	upgradeAdapters(keyedByName);
	const expected = createFleetCatalog();
	expected.adapters['pitch-desk:v1/menu-tone'] = {
		...menuTone, manifestId: manifest('a') as never, isWithdrawn: false,
	};
	t.equal(canonicalJson(keyedByName), canonicalJson(expected));
});
