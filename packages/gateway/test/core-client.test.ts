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

/** A core host that answers at once, or after the wait that is asked for; counts its questions, and those that ask for a roster. */
const startCore = async (address: string, {zoneId, epoch, roster}: {zoneId: string; epoch: string; roster: Roster}) => {
	const asked = {all: 0, roster: 0};
	const rpc = createRpcServer();
	rpc.method('gateway.watch', watchParametersSchema, async ({waitMs, rosterHash}): Promise<WatchResult> => {
		asked.all++;
		asked.roster += rosterHash === null ? 0 : 1;
		await delay(rosterHash === null || rosterHash === roster.hash ? waitMs : 0);
		return {
			epoch, position: 0, announcements: [], zoneId, configurationNumber: -1, versionsHash: '{}', freshAgeMs: null, versions: [],
			roster: rosterHash === null || rosterHash === roster.hash ? null : roster,
		};
	});
	const server = await createHttpServer({listen: address, handler: async (request, response) => rpc.serve(request, response)});
	return {asked, stop: server.destroy};
};

const until = async (check: () => boolean): Promise<void> => {
	while (!check()) {
		await delay(10);
	}
};

const follow = (t: Test, addresses: readonly string[]): string[] => {
	const hashes: string[] = [];
	const client = createCoreClient({
		self, seeds: () => addresses, clock: createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()}), logger: silentLogger, waitMs: 50,
		configurationNumber: () => -1, wantsConfiguration: () => false, onConfiguration: () => undefined,
		onResult({roster}) {
			if (roster !== null) {
				hashes.push(roster.hash);
			}
		},
	});
	t.teardown(client.close);
	return hashes;
};

// The core host of an agent's zone starts again, and is asked by the agent before the
// entries have found it anew. Its roster has nobody in it: taken for the truth, the agent
// would send no reports to any entry, and its engine would look lost to all of them.
t.test('a core host that has just started tells nobody who follows the core', async t => {
	const [far, near] = await freeAddresses(2) as [string, string];
	const rosterOf = (hash: string): Roster => ({
		hash, coreAddresses: [far, near], entryCount: 1, followers: [],
	});
	const farCore = await startCore(far, {zoneId: 'far', epoch: 'f', roster: rosterOf('far')});
	const first = await startCore(near, {zoneId: 'near', epoch: 'n1', roster: rosterOf('near')});
	t.teardown(farCore.stop);
	const hashes = follow(t, [far, near]);
	await until(() => hashes.includes('near') || hashes.includes('far'));
	// Both have been connected for a while.
	await delay(3200);
	await until(() => hashes.at(-1) === 'near');
	first.stop();
	await until(() => hashes.at(-1) === 'far');
	const second = await startCore(near, {zoneId: 'near', epoch: 'n2', roster: rosterOf('empty')});
	t.teardown(second.stop);
	await until(() => second.asked.all >= 10);
	t.equal(second.asked.roster, 0);
	t.notOk(hashes.includes('empty'));
	await until(() => hashes.at(-1) === 'empty');
	t.pass('and is believed once it has been there for a while');
});
