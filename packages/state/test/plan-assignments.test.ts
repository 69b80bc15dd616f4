import fc from 'fast-check';
import t from 'tap';
import {
	applyCommand, canonicalJson, changeSchema, createCatalog, createLedger, planAssignments,
	type Catalog, type Change, type FleetRecord, type HostRecord, type ReplicatedState,
} from '@bitternpaddle/state';

const seed = 20_261_202;
const versions = ['m:v1', 'm:v2'];
const fleets = ['fa', 'fb', 'fc'];
const zones = ['z1', 'z2', 'z3'];
const hosts = Array.from({length: 9}, (_, index) => `h${index}`);

const oneOf = (values: readonly string[]) => fc.constantFrom(...values);

const changeFields: fc.Arbitrary<Record<string, unknown>> = fc.oneof(
	fc.record({
		type: fc.constant('hostJoined'), hostId: oneOf(hosts), zoneId: oneOf(zones), provider: oneOf(['old', 'new']), capacity: fc.integer({min: 1, max: 3}), incarnation: fc.nat(6),
	}),
	fc.record({type: fc.constant('hostLeft'), hostId: oneOf(hosts), incarnation: fc.constant(0)}),
	fc.record({type: oneOf(['drainHost', 'undrainHost', 'stopHost']), hostId: oneOf(hosts)}),
	fc.record({type: fc.constant('load'), versionId: oneOf(versions), fleetId: oneOf(fleets)}),
	fc.record({type: fc.constant('setReplicas'), fleetId: oneOf(fleets), replicas: fc.nat(5)}),
	fc.record({type: fc.constant('withdrawVersion'), versionId: oneOf(versions)}),
	fc.record({type: fc.constant('retireFleet'), fleetId: oneOf(fleets)}),
	fc.record({
		type: fc.constant('replicasChanged'), hostId: oneOf(hosts), incarnation: fc.constant(0), versionId: oneOf(versions),
	}),
);

const toChange = ({type, ...fields}: Record<string, unknown>): Change => {
	if (type === 'hostJoined') {
		return changeSchema.parse({
			type, announcement: {
				...fields, regionId: 'r1', serviceId: 's1', address: '127.0.0.1:1', kind: 'engine',
			},
		});
	}

	return changeSchema.parse(type === 'replicasChanged' ? {type, readiness: [fields]} : {type, ...fields});
};

/** Replaces incarnation 0 by the host's current one, since leaves and readiness reports with a random incarnation would nearly always be refused. */
const withCurrentIncarnation = (catalog: Catalog, {incarnation, ...fields}: Record<string, unknown>): Change => toChange({
	...fields, ...(incarnation === undefined ? {} : {incarnation: incarnation === 0 ? catalog.hosts[String(fields.hostId)]?.announcement.incarnation ?? 0 : incarnation}),
});

const created: Change[] = [
	{type: 'createModel', modelId: 'm'},
	...versions.map(versionId => ({type: 'createVersion', versionId, manifestId: `sha256:${'a'.repeat(64)}`})),
	{
		type: 'createFleet', fleetId: 'fa', provider: 'new', versionId: 'm:v1', replicas: 3, zoneIds: [], maxPerZone: 1,
	},
	{
		type: 'createFleet', fleetId: 'fb', provider: 'new', versionId: 'm:v1', replicas: 4, zoneIds: ['z1', 'z2'],
	},
	{
		type: 'createFleet', fleetId: 'fc', provider: 'old', versionId: 'm:v1', replicas: 2, zoneIds: [], minCapacity: 2,
	},
].map(change => changeSchema.parse(change));

/** Histories start with two loaded fleets that together have too few hosts. */
const loaded = [
	...fleets.slice(0, 2).map(fleetId => ({type: 'load', versionId: 'm:v1', fleetId})),
	...hosts.slice(0, 8).map((hostId, index) => ({
		type: 'hostJoined', hostId, zoneId: zones[index % 3], provider: 'new', capacity: 1, incarnation: 1,
	})),
];

const createState = (): ReplicatedState => ({catalog: createCatalog(), ledger: createLedger()});

const apply = (state: ReplicatedState, change: Change, index: number) => applyCommand(state, {commandId: null, ifRevision: null, change}, index);

const copyOf = (state: ReplicatedState): ReplicatedState => JSON.parse(canonicalJson(state)) as ReplicatedState;

const isEligible = ({status, announcement}: HostRecord, fleet: FleetRecord): boolean => status === 'serving'
	&& announcement.provider === fleet.provider
	&& announcement.capacity >= (fleet.minCapacity ?? 0)
	&& (fleet.zoneIds.length === 0 || fleet.zoneIds.includes(announcement.zoneId));

/** Returns the faults of the assignments, found by checking every host and fleet. */
const faultsOf = (catalog: Catalog): string[] => Object.values(catalog.fleets).flatMap(fleet => {
	const all = Object.values(catalog.hosts);
	const members = all.filter(host => host.assignment?.fleetId === fleet.fleetId);
	const remainingInZone = (zoneId: string): number => (fleet.maxPerZone ?? Number.POSITIVE_INFINITY) - members.filter(host => host.announcement.zoneId === zoneId).length;
	const unused = all.filter(host => host.assignment === null && isEligible(host, fleet) && remainingInZone(host.announcement.zoneId) > 0);
	return [
		fleet.isLoaded || members.length === 0 ? '' : `${fleet.fleetId} has hosts but is not loaded`,
		members.length <= fleet.replicas ? '' : `${fleet.fleetId} has too many hosts`,
		fleet.isLoaded && members.length < fleet.replicas && unused.length > 0 ? `${fleet.fleetId} has too few hosts while ${unused.length} are free` : '',
		members.every(host => isEligible(host, fleet)) ? '' : `${fleet.fleetId} has a host that it must not have`,
		members.every(host => host.assignment!.versionId === fleet.versionId) ? '' : `${fleet.fleetId} has a host with another version`,
	].filter(fault => fault !== '');
});

// Every host applies each change, with an index that it built at a different time. If the
// incremental plan differed from the full plan, a restarted agent would fetch a version
// that the control hosts never assigned to it.
t.test(`incremental planning gives the same result as full planning (seed ${seed})`, async t => {
	fc.assert(fc.property(fc.array(changeFields, {minLength: 1, maxLength: 40}), fc.nat(40), (generatedChanges, restartAt) => {
		const continuous = createState();
		let restarted = createState();
		for (const [position, item] of [...created, ...loaded, ...generatedChanges].entries()) {
			const index = position + 1;
			const change = withCurrentIncarnation(continuous.catalog, item);
			apply(continuous, change, index);
			apply(restarted, change, index);
			const faults = faultsOf(continuous.catalog);
			if (faults.length > 0) {
				throw new Error(`${JSON.stringify(change)}: ${faults.join('; ')}`);
			}

			const planned = copyOf(continuous);
			planAssignments(planned.catalog, index);
			if (canonicalJson(planned) !== canonicalJson(continuous)) {
				throw new Error(`${JSON.stringify(change)}: full planning gives another result`);
			}

			if (position === restartAt) {
				restarted = copyOf(restarted);
			}
		}

		if (canonicalJson(restarted) !== canonicalJson(continuous)) {
			throw new Error('a restart within the history gives another result');
		}
	}), {seed, numRuns: 400});
	t.pass('400 histories');
});

const state = (): ReplicatedState => {
	const made = createState();
	for (const [position, change] of created.entries()) {
		apply(made, change, position + 1);
	}

	return made;
};

const join = (id: string, zoneId: string): Change => toChange({
	type: 'hostJoined', hostId: id, zoneId, provider: 'new', capacity: 1, incarnation: 1,
});

// A version proves faulty while its first hosts still fetch it, and the operator withdraws
// it. If the fleet could not return to "not loaded", the command would be refused and the
// transfers would continue.
t.test('a version is withdrawn during its first transfer', async t => {
	const made = state();
	apply(made, join('h1', 'z1'), 20);
	apply(made, toChange({type: 'load', versionId: 'm:v1', fleetId: 'fb'}), 21);
	t.equal(made.catalog.hosts.h1!.assignment?.versionId, 'm:v1');
	t.equal(apply(made, toChange({type: 'withdrawVersion', versionId: 'm:v1'}), 22).type, 'accepted');
	t.equal(made.catalog.hosts.h1!.assignment, null);
	t.same(made.catalog.models.m, {traffic: []});
});

// A fleet that is reduced must release hosts that do not serve yet before hosts that do.
t.test('with fewer replicas the serving hosts are kept', async t => {
	const made = state();
	for (const [position, id] of ['h1', 'h2', 'h3'].entries()) {
		apply(made, join(id, 'z1'), 20 + position);
	}

	apply(made, toChange({type: 'load', versionId: 'm:v1', fleetId: 'fb'}), 30);
	apply(made, toChange({
		type: 'replicasChanged', hostId: 'h3', incarnation: 1, versionId: 'm:v1',
	}), 31);
	apply(made, toChange({type: 'setReplicas', fleetId: 'fb', replicas: 1}), 32);
	t.same(Object.values(made.catalog.hosts).filter(host => host.assignment !== null).map(host => host.announcement.hostId), ['h3']);
});
