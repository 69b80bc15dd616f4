import {rpcErrorCodes} from '@bitternpaddle/protocol';
import {applyDocument, createDocumentState, type Document} from '@bitternpaddle/state';
import {RpcError, silentLogger, TransportError} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createEvacuationOrders, createGatewayMetrics, type EvacuationOrdersOptions, type LeaderCalls, type OrderResult,
} from '@bitternpaddle/gateway';

const zoneId = 'z1';
const nowMs = (): number => performance.now();

/** Orders at a host whose log commits at once, and which leads unless it is given calls of a leader elsewhere. */
const create = (t: Test, leaderCalls: Partial<LeaderCalls> | null, options: Partial<EvacuationOrdersOptions> = {}) => {
	let state = createDocumentState();
	const propose = async (document: Document) => {
		const applied = applyDocument(state, document);
		({state} = applied);
		return applied.outcome;
	};

	const orders = createEvacuationOrders({
		evacuationMs: 5000, isKnownZone: zone => zone === zoneId, epoch: 'self', clock: {nowMs}, logger: silentLogger, metrics: createGatewayMetrics(),
		log: {isLeader: () => leaderCalls === null, leaderAddress: () => leaderCalls === null ? null : 'leader', propose},
		leaderCalls: {readClock: async () => ({epoch: 'leader', nowMs: nowMs()}), submit: async (_address, {document}) => propose(document), ...leaderCalls},
		...options,
	});
	t.teardown(orders.close);
	const submit = async (caller: {readonly arrivedAtMs?: number; hasLeft?(): boolean} = {}, zone = zoneId): Promise<OrderResult> => orders.submit({zoneId: zone, isEvacuated: true}, {
		arrivedAtMs: nowMs(), hasLeft: () => false, ...caller,
	});
	return {
		orders, propose, submit, revision: () => state.evacuations.revision,
	};
};

// An order is held up in a stalled connection, or in the socket of a suspended host,
// until its caller has given up and ordered the opposite at another host.
t.test('an order that is late, or whose caller has left, is not appended', async t => {
	const {orders, submit, revision} = create(t, null);
	const document = {kind: 'evacuation', zoneId, isEvacuated: true} as const;
	await t.rejects(orders.append(document, {epoch: 'self', atMs: nowMs() - 1}), {message: /after its caller/v});
	await t.rejects(orders.append(document, {epoch: 'earlier run', atMs: nowMs() + 500}));
	await t.rejects(orders.append(document, null), 'an order without an expiry');
	t.equal(await submit({arrivedAtMs: nowMs() - 5000}), 'unconfirmed');
	const leavesAtMs = nowMs() + 5;
	t.equal(await submit({hasLeft: () => nowMs() > leavesAtMs}), 'unconfirmed');
	t.equal(revision(), 0);
	t.equal(await orders.append(document, {epoch: 'self', atMs: nowMs() + 500}), 'stored');
});

// The connection to the leader breaks after the order was sent, and the leader reads the
// order only later. If the caller were told at once, its next order could come first.
t.test('an order whose answer is lost is reported once it has expired, and acknowledged when it is resent', async t => {
	let expiresAtMs = 0;
	const {submit, propose, revision} = create(t, {
		async submit(_address, {document, expiry}) {
			const outcome = await propose(document);
			if (outcome === 'stored') {
				expiresAtMs = expiry.atMs;
				throw new TransportError('the connection was reset', false);
			}

			return outcome;
		},
	});
	t.equal(await submit(), 'unconfirmed');
	t.ok(nowMs() >= expiresAtMs - 1);
	t.equal(await submit(), 'known');
	t.equal(revision(), 1);
});

// The leader has gone, and the next one is elected half a second later.
t.test('an order waits briefly for a leader', async t => {
	const electedAtMs = nowMs() + 500;
	const {submit} = create(t, {
		async readClock() {
			if (nowMs() < electedAtMs) {
				throw nowMs() < electedAtMs - 250 ? new TransportError('connection refused', true) : new RpcError(rpcErrorCodes.notLeader, 'this core host does not lead');
			}

			return {epoch: 'leader', nowMs: nowMs()};
		},
	});
	t.equal(await submit(), 'stored');
});

t.test('an order is not acknowledged by a leader of the previous version', async t => {
	const {submit} = create(t, {
		async readClock() {
			throw new RpcError(-32_601, 'method not found');
		},
	});
	t.equal(await submit(), 'unconfirmed');
});

t.test('orders for an unknown zone, or without evacuations in the settings, change nothing', async t => {
	const {submit, revision} = create(t, null);
	t.same([await submit({}, 'z9'), await submit({}, ''), revision()], ['unknownZone', 'unknownZone', 0]);
	const disabled = create(t, null, {evacuationMs: null});
	t.same([await disabled.submit(), disabled.revision()], ['disabled', 0]);
});
