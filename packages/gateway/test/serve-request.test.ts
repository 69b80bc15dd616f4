import {createRouteTable, type RouteTable, type RoutingConfiguration} from '@bitternpaddle/state';
import {createFirstAttemptDeadlines, createRandom} from '@bitternpaddle/coordination';
import {freeAddresses} from '@bitternpaddle/test-support';
import {readBody, sendHttp, silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createFrontServer, createGatewayMetrics, serveRequest, type RequestProtocol, type ServeContext,
} from '@bitternpaddle/gateway';

const tableWith = (number: number, keys: readonly string[]): RouteTable => createRouteTable({
	number,
	routes: [{
		name: 'r', host: 'a.example', prefix: '/', retryClass: 'streaming', timeoutMs: 6000, objectiveMs: 400, pauseObjectiveMs: 300, priority: 1,
		targets: [{serviceName: 's', weight: 1}], maxAttempts: 2, isPublic: false, isResumable: true,
	}],
	services: [{
		name: 's', maxConnections: 10, origin: null, engine: null,
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	teams: [{name: 'marshals', keys, priority: null}],
} satisfies RoutingConfiguration);

const protocol: RequestProtocol = {
	headers: {
		requestId: 'x-id', deadlineMs: 'x-deadline', expectedEndpoint: 'x-expect', expectedVersion: 'x-version', team: 'x-team', notRun: 'x-not-run', signature: 'x-signature',
		urgency: 'x-urgency', load: 'x-load', lastEventId: 'last-event-id',
	},
	decodeConfiguration: () => ({type: 'invalid', problems: []}),
	readTokens: () => ({prompt: 100, maxAnswer: 10}),
	readLoad: () => null,
	readLimit: () => ({type: 'unlimited'}),
	readPause: () => ({type: 'none'}),
	isLeaving: () => false,
};

/** Starts an entry with the configuration of a snapshot; `received` is the configuration that it then receives from the core. */
const start = async (t: Test, received: RouteTable) => {
	const state = {table: tableWith(1, ['k']), holdsLease: false};
	const keysInForce: boolean[] = [];
	const waits: number[] = [];
	const firstAttemptDeadlines = createFirstAttemptDeadlines();
	const context: ServeContext = {
		protocol, random: createRandom(1), logger: silentLogger, metrics: createGatewayMetrics(), nowMs: () => performance.now(),
		table: () => state.table, holdsLease: () => state.holdsLease, lostCoreRetryMs: () => 2000, firstAttemptDeadlines: () => firstAttemptDeadlines,
		awaitConfiguration: async () => undefined, knowsEvacuations: () => true, awaitEvacuations: async () => undefined,
		async awaitLease(maxMs) {
			waits.push(maxMs);
			state.table = received;
			state.holdsLease = true;
		},
		async run(call) {
			keysInForce.push(call.isKeyInForce());
			state.table = tableWith(3, []);
			keysInForce.push(call.isKeyInForce());
			call.response.end('ran');
		},
	};
	const [listen] = await freeAddresses(1);
	const front = await createFrontServer({
		listen: listen!, serve: async (request, response, connection) => serveRequest(context, request, response, connection), onError(error) {
			t.fail(error.message);
		},
	});
	t.teardown(() => {
		front.destroy();
	});
	const call = async (deadlineMs: number): Promise<number> => {
		const response = await sendHttp({
			address: listen!, path: '/x', headers: {
				host: 'a.example', authorization: 'Bearer k', 'x-id': 'a', 'x-deadline': String(deadlineMs),
			}, idleTimeoutMs: 5000,
		});
		await readBody(response);
		return response.statusCode!;
	};

	return {call, keysInForce, waits};
};

// Guards against accepting a revoked key after a power loss of the whole system: the entry
// starts with the configuration of a snapshot, and a caller retry uses a key that was revoked
// after that snapshot. The caller waits until the entry holds the lease; its key must then be
// checked against the configuration in force.
t.test('a revoked key is not accepted on the basis of a configuration from before the lease', async t => {
	const {call, keysInForce} = await start(t, tableWith(2, ['other']));
	t.equal(await call(3000), 401);
	t.same(keysInForce, [], 'nothing ran');
});

t.test('a caller retry waits for the lease and is served', async t => {
	const {call, keysInForce} = await start(t, tableWith(2, ['k']));
	t.equal(await call(3000), 200);
	t.same(keysInForce, [true, false], 'and a later revocation of the key is detected');
});

// Guards against missing the caller's deadline: with 300 ms left, a caller must not wait for
// a lease that takes 1 s, because it would get no answer in time.
t.test('a caller waits for the lease for at most about a third of its remaining time', async t => {
	const {call, waits} = await start(t, tableWith(2, ['k']));
	await call(300);
	t.equal(waits.length, 1);
	t.ok(waits[0]! < 110, `${waits[0]} ms`);
});
