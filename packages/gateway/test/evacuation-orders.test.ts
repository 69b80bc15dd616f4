import {setTimeout as delay} from 'node:timers/promises';
import {rpcErrorCodes} from '@bitternpaddle/protocol';
import {
	applyDocument, createDocumentState, type Document, type DocumentState,
} from '@bitternpaddle/state';
import {RpcError, silentLogger, TransportError} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createEvacuationOrders, createGatewayMetrics, type EvacuationOrders, type EvacuationOrdersOptions, type OrderCaller,
} from '@bitternpaddle/gateway';

const zoneId = 'z1';
const document = {kind: 'evacuation', zoneId, isEvacuated: true} as const;
const clock = {nowMs: () => performance.now()};

/** A leader's log that commits at once. */
const createLog = () => {
	let state: DocumentState = createDocumentState();
	return {
		state: () => state,
		async propose(proposed: Document) {
			const applied = applyDocument(state, proposed);
			({state} = applied);
			return applied.outcome;
		},
	};
};

const create = (t: Test, options: Partial<EvacuationOrdersOptions>): EvacuationOrders => {
	const orders = createEvacuationOrders({
		evacuationMs: 5000, isKnownZone: zone => zone === zoneId, epoch: 'self', clock, logger: silentLogger, metrics: createGatewayMetrics(),
		log: {isLeader: () => true, leaderAddress: () => null, propose: createLog().propose},
		leaderCalls: {
			async readClock() {
				throw new Error('not called');
			},
			async submit() {
				throw new Error('not called');
			},
		},
		...options,
	});
	t.teardown(orders.close);
	return orders;
};

/** A host that forwards orders to the leader at address `leader`. */
const createForwarder = (t: Test, leaderCalls: EvacuationOrdersOptions['leaderCalls']): EvacuationOrders => create(t, {
	log: {isLeader: () => false, leaderAddress: () => 'leader', propose: createLog().propose}, leaderCalls,
});

const callerOf = (orders: EvacuationOrders, hasLeft: () => boolean = () => false): OrderCaller => ({arrivedAtMs: orders.arrivedAtMs(), hasLeft});

// A forwarded order is held up in a stalled connection to the leader until its caller has
// given up and ordered the opposite at another host.
t.test('the leader does not append an order that has expired', async t => {
	const log = createLog();
	const leader = create(t, {log: {isLeader: () => true, leaderAddress: () => null, propose: log.propose}});
	const {nowMs} = leader.readClock();
	await t.rejects(leader.append(document, {epoch: 'self', atMs: nowMs - 1}), {message: /after its caller/v});
	await t.rejects(leader.append(document, {epoch: 'earlier run', atMs: nowMs + 500}));
	await t.rejects(leader.append(document, null), 'an order without an expiry');
	t.equal(log.state().evacuations.revision, 0);
	t.equal(await leader.append(document, {epoch: 'self', atMs: nowMs + 500}), 'stored');
});

t.test('an order that waited in the socket of a suspended control host is not appended', async t => {
	const orders = create(t, {});
	t.equal(await orders.submit({zoneId, isEvacuated: true}, {arrivedAtMs: clock.nowMs() - 5000, hasLeft: () => false}), 'unconfirmed');
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders)), 'stored');
});

// A link that stalled delivers the order of a caller that has closed its connection.
t.test('the order of a caller that has left is not appended', async t => {
	const log = createLog();
	const orders = create(t, {log: {isLeader: () => true, leaderAddress: () => null, propose: log.propose}});
	const arrivedAtMs = clock.nowMs();
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders, () => clock.nowMs() - arrivedAtMs > 5)), 'unconfirmed');
	t.equal(log.state().evacuations.revision, 0);
});

// The connection to the leader breaks after the order was sent, and the leader reads the
// order only later. If the caller were told at once, its next order could come first.
t.test('an order whose answer is lost is reported only once it has expired', async t => {
	let expiresAtMs = 0;
	const orders = createForwarder(t, {
		readClock: async () => ({epoch: 'leader', nowMs: clock.nowMs()}),
		async submit(_address, {expiry}) {
			expiresAtMs = expiry.atMs;
			throw new TransportError('the connection was reset', false);
		},
	});
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders)), 'unconfirmed');
	t.ok(clock.nowMs() >= expiresAtMs - 1);
});

// The leader is killed after it stored the order and before it answered.
t.test('a resent order is acknowledged by the next leader', async t => {
	const log = createLog();
	let isKilled = false;
	const orders = createForwarder(t, {
		readClock: async () => ({epoch: 'leader', nowMs: clock.nowMs()}),
		async submit(_address, order) {
			const outcome = await log.propose(order.document);
			if (!isKilled) {
				isKilled = true;
				throw new TransportError('the connection was reset', false);
			}

			return outcome;
		},
	});
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders)), 'unconfirmed');
	t.same(log.state().evacuations.zoneIds, [zoneId], 'the order is in force');
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders)), 'known');
	t.equal(log.state().evacuations.revision, 1);
});

// The leader has gone, and the next one is elected half a second later.
t.test('an order waits briefly for a leader', async t => {
	const electedAtMs = clock.nowMs() + 500;
	const orders = createForwarder(t, {
		async readClock() {
			if (clock.nowMs() < electedAtMs) {
				throw clock.nowMs() < electedAtMs - 250 ? new TransportError('connection refused', true) : new RpcError(rpcErrorCodes.notLeader, 'this core host does not lead');
			}

			return {epoch: 'leader', nowMs: clock.nowMs()};
		},
		submit: async () => 'stored',
	});
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders)), 'stored');
});

// During an upgrade the leader still has the previous version.
t.test('an order is not acknowledged by a leader that cannot store it', async t => {
	const orders = createForwarder(t, {
		async readClock() {
			throw new RpcError(-32_601, 'method not found');
		},
		submit: async () => 'stored',
	});
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders)), 'unconfirmed');
});

// The caller waits for 1,000 ms. An answer after that would be lost.
t.test('without a majority the answer is due before the caller gives up', async t => {
	const orders = create(t, {
		log: {
			isLeader: () => true, leaderAddress: () => null,
			async propose() {
				await delay(2000, undefined, {ref: false});
				return 'stored';
			},
		},
	});
	const startedAtMs = clock.nowMs();
	t.equal(await orders.submit({zoneId, isEvacuated: true}, callerOf(orders)), 'unconfirmed');
	t.ok(clock.nowMs() - startedAtMs < 1000, `${clock.nowMs() - startedAtMs} ms`);
});

t.test('orders for an unknown zone, or without evacuations in the settings, change nothing', async t => {
	const log = createLog();
	const options = {log: {isLeader: () => true, leaderAddress: () => null, propose: log.propose}};
	const orders = create(t, options);
	t.equal(await orders.submit({zoneId: 'z9', isEvacuated: true}, callerOf(orders)), 'unknownZone');
	t.equal(await orders.submit({zoneId: '', isEvacuated: false}, callerOf(orders)), 'unknownZone');
	const disabled = create(t, {...options, evacuationMs: null});
	t.equal(await disabled.submit({zoneId, isEvacuated: true}, callerOf(disabled)), 'disabled');
	t.equal(log.state().evacuations.revision, 0);
});
