import t from 'tap';
import {
	adapterOrderOf, applyChange, canonicalJson, changeSchema, createCatalog, maxAdaptersPerVersion, upgradeAdapters, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';

const manifest = (digit: string): string => `sha256:${digit.repeat(64)}`;

const apply = (catalog: Catalog, change: Record<string, unknown>): string | null =>
	applyChange(catalog, changeSchema.parse(change) as CatalogChange, catalog.revision + 1)?.message ?? null;

const createFleet = (): Catalog => {
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

t.test('what is wrong with an order about an adapter is said', async t => {
	const catalog = createFleet();
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

t.test('a base version that adapters stand on is not retired', async t => {
	const catalog = createFleet();
	const laterTone = {versionId: 'pitch-desk:v2', adapterId: 'menu-tone'};
	apply(catalog, {type: 'createAdapter', ...laterTone, manifestId: manifest('a')});
	apply(catalog, {type: 'loadAdapter', ...laterTone, fleetId: 'fair'});
	t.equal(apply(catalog, {type: 'retireVersion', versionId: 'pitch-desk:v2'}), 'adapter pitch-desk:v2/menu-tone stands on pitch-desk:v2 and is loaded on fleet fair; retire it first');
	apply(catalog, {type: 'unloadAdapter', ...laterTone, fleetId: 'fair'});
	t.equal(apply(catalog, {type: 'retireVersion', versionId: 'pitch-desk:v2'}), 'adapter pitch-desk:v2/menu-tone stands on pitch-desk:v2; retire it first');
});

t.test('a fleet carries a bounded number of adapters of one version', async t => {
	const catalog = createFleet();
	const refusals = Array.from({length: maxAdaptersPerVersion + 1}, (_, number) => {
		const adapter = {versionId: 'pitch-desk:v1', adapterId: `tone-${number}`};
		apply(catalog, {type: 'createAdapter', ...adapter, manifestId: manifest('a')});
		return apply(catalog, {type: 'loadAdapter', ...adapter, fleetId: 'fair'});
	});
	t.same(refusals.slice(0, -1).filter(refusal => refusal !== null), []);
	t.equal(refusals.at(-1), `fleet fair carries ${maxAdaptersPerVersion} adapters of pitch-desk:v1, the most that it may; unload one first`);
});

// A fleet with an adapter gets another base. Its hosts must not be told to hold
// the old base's adapter on the new one, and every order about either must have
// a greater number than those before, or engines would refuse it.
t.test('orders follow the assigned version and their numbers grow', async t => {
	const catalog = createFleet();
	const numbers: number[] = [];
	const wanted = (): string[] => {
		const order = adapterOrderOf(catalog, 'h1')!;
		numbers.push(order.fencingNumber);
		return order.adapters.map(({versionId, adapterId}) => `${versionId}/${adapterId}`);
	};

	t.same(wanted(), []);
	apply(catalog, {type: 'createAdapter', ...menuTone, manifestId: manifest('a')});
	apply(catalog, {type: 'loadAdapter', ...menuTone, fleetId: 'fair'});
	t.same(wanted(), ['pitch-desk:v1/menu-tone']);
	apply(catalog, {type: 'load', versionId: 'pitch-desk:v2', fleetId: 'fair'});
	t.same(wanted(), []);
	apply(catalog, {type: 'withdrawVersion', versionId: 'pitch-desk:v2'});
	t.same(wanted(), ['pitch-desk:v1/menu-tone'], 'it comes back with its base');
	apply(catalog, {type: 'unloadAdapter', ...menuTone, fleetId: 'fair'});
	t.same(wanted(), []);
	t.same(numbers, [...new Set(numbers)].toSorted((a, b) => a - b));
});

t.test('snapshots from before adapters could be loaded', async t => {
	const none = JSON.parse(canonicalJson(createFleet())) as Partial<Catalog> as Catalog;
	delete (none as Partial<Catalog>).adapters;
	upgradeAdapters(none);
	t.equal(canonicalJson(none), canonicalJson(createFleet()));
	const named = createFleet();
	(named.adapters as Record<string, unknown>)['menu-tone'] = {versionId: 'pitch-desk:v1', manifestId: manifest('a')};
	upgradeAdapters(named);
	const replayed = createFleet();
	replayed.adapters['pitch-desk:v1/menu-tone'] = {
		...menuTone, manifestId: manifest('a') as never, isWithdrawn: false,
	};
	t.equal(canonicalJson(named), canonicalJson(replayed));
});
