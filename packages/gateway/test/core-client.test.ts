import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import {freeAddresses} from '@bitternpaddle/test-support';
import {createHttpServer, createRpcServer, silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createCoreClient, watchParametersSchema, type Follower, type Roster, type WatchResult,
} from '@bitternpaddle/gateway';

const self: Follower = {
	role: 'agent', address: '127.0.0.1:1', zoneId: 'near', regionId: 'r', endpointAddress: null, serviceName: 's',
};

/** A fake core host that answers at once with a changed roster, otherwise after the requested wait; it counts all polls and those that request a roster. */
const startCore = async (address: string, {zoneId, epoch, roster}: {zoneId: string; epoch: string; roster: Roster}) => {
	const polls = {all: 0, roster: 0};
	const rpc = createRpcServer();
	rpc.method('gateway.watch', watchParametersSchema, async ({waitMs, rosterHash}): Promise<WatchResult> => {
		polls.all++;
		polls.roster += rosterHash === null ? 0 : 1;
		await delay(rosterHash === null || rosterHash === roster.hash ? waitMs : 0);
		return {
			epoch, position: 0, announcements: [], zoneId, configurationNumber: -1, versionsHash: '{}', freshAgeMs: null, versions: [], evacuations: null,
			roster: rosterHash === null || rosterHash === roster.hash ? null : roster,
		};
	});
	const server = await createHttpServer({listen: address, handler: async (request, response) => rpc.serve(request, response)});
	return {polls, stop: server.destroy};
};

const until = async (check: () => boolean): Promise<void> => {
	while (!check()) {
		await delay(10);
	}
};

const follow = (t: Test, addresses: readonly string[], onRoster: (roster: Roster) => void = () => undefined): string[] => {
	const hashes: string[] = [];
	const client = createCoreClient({
		self, seeds: () => addresses, clock: createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()}), logger: silentLogger, waitMs: 50,
		configurationNumber: () => -1, wantsConfiguration: () => false, onConfiguration: () => undefined,
		onResult({roster}) {
			if (roster !== null) {
				hashes.push(roster.hash);
				onRoster(roster);
			}
		},
	});
	t.teardown(client.close);
	return hashes;
};

// The core host in an agent's zone restarts, and the agent polls it before the entries
// have reconnected. Its roster is empty: if the agent used it, it would send no reports
// to any entry, and all of them would take its engine for lost.
t.test('the roster of a core host that has just started is not used', async t => {
	const [far, near] = await freeAddresses(2) as [string, string];
	const rosterOf = (hash: string): Roster => ({
		hash, coreAddresses: [far, near], entryCount: 1, followers: [],
	});
	const farCore = await startCore(far, {zoneId: 'far', epoch: 'f', roster: rosterOf('far')});
	const first = await startCore(near, {zoneId: 'near', epoch: 'n1', roster: rosterOf('near')});
	t.teardown(farCore.stop);
	const hashes = follow(t, [far, near]);
	await until(() => hashes.includes('near') || hashes.includes('far'));
	// Both core hosts pass the roster warm-up time.
	await delay(3200);
	await until(() => hashes.at(-1) === 'near');
	first.stop();
	await until(() => hashes.at(-1) === 'far');
	const second = await startCore(near, {zoneId: 'near', epoch: 'n2', roster: rosterOf('empty')});
	t.teardown(second.stop);
	await until(() => second.polls.all >= 10);
	t.equal(second.polls.roster, 0);
	t.notOk(hashes.includes('empty'));
	await until(() => hashes.at(-1) === 'empty');
	t.pass('its roster is used after the warm-up time');
});

t.test('processes do not forget each other when the only core host starts again', async t => {
	const [core] = await freeAddresses(1) as [string];
	const entryOf = (address: string): Follower => ({
		role: 'entry', address, zoneId: 'near', regionId: 'r', endpointAddress: null, serviceName: null,
	});
	const rosterOf = (hash: string, entries: readonly string[]): Roster => ({
		hash, coreAddresses: [core], entryCount: entries.length, followers: entries.map(address => entryOf(address)),
	});
	const rosters: Roster[] = [];
	const first = await startCore(core, {zoneId: 'near', epoch: '1', roster: rosterOf('full', ['e1', 'e2', 'e3'])});
	const hashes = follow(t, [core], roster => {
		rosters.push(roster);
	});
	await until(() => hashes.includes('full'));
	first.stop();
	const second = await startCore(core, {zoneId: 'near', epoch: '2', roster: rosterOf('partial', ['e2', 'e4'])});
	t.teardown(second.stop);
	await until(() => hashes.includes('partial'));
	const {entryCount, followers} = rosters.at(-1)!;
	t.equal(entryCount, 4);
	t.same(followers.map(({address}) => address).toSorted(), ['e1', 'e2', 'e3', 'e4']);
	await until(() => rosters.at(-1)!.entryCount === 2);
	t.same(rosters.at(-1)!.followers.map(({address}) => address), ['e2', 'e4'], 'once it has had the time to learn of all of them');
});
