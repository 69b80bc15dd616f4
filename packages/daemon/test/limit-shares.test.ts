import {setTimeout as delay} from 'node:timers/promises';
import {
	createAdmission, createBurnCounter, offerRequest, type AdmissionState,
} from '@bitternpaddle/coordination';
import {entrySharesAnswerSchema} from '@bitternpaddle/protocol';
import {
	callRpc, createHttpServer, rpcPath, sendJson,
} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createEntryRpc, createLimitShares, createRequestLog, type AdminToken, type LimitShares,
} from '@bitternpaddle/daemon';

const tokens: readonly AdminToken[] = [{role: 'read', token: 'a shared token'}];
const tokensPerSecond = 1000;

type Node = {readonly admission: AdmissionState; readonly shares: LimitShares; readonly address: string};

const startNode = async (t: Test, entryId: string, addresses: Map<string, string>): Promise<Node> => {
	const admission = createAdmission({fleetTokensPerSecond: tokensPerSecond});
	const shares = createLimitShares({
		entryId, admission,
		listEntries: async () => addresses,
		requestShares: async (address, request) => entrySharesAnswerSchema.parse(await callRpc<unknown>({
			address, method: 'entry.shares', params: {token: 'a shared token', request}, timeoutMs: 5000,
		})),
	});
	const rpc = createEntryRpc({
		entryId, tokens, counter: createBurnCounter(), requests: createRequestLog({entryId, serviceOf: () => '', onEnd: () => undefined}), answerShares: request => shares.answer(request),
		receiveCrashUpdate: () => undefined,
	});
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			if (request.url === rpcPath) {
				await rpc.serve(request, response);
			} else {
				sendJson(response, 404, {});
			}
		},
		onError(error) {
			t.fail(error.message);
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	addresses.set(entryId, server.address);
	shares.setTeams(new Map([['t', 1]]), performance.now());
	return {admission, shares, address: server.address};
};

const rateOf = ({admission}: Node): number => admission.teams.get('t')!.bucket!.ratePerSecond;

/** Ticks all entries until the condition holds; `overloaded` is offered far more than the limit. */
const runUntil = async (nodes: readonly Node[], overloaded: Node | null, holds: () => boolean): Promise<void> => {
	for (let step = 0; !holds(); step++) {
		for (const {shares} of nodes) {
			shares.tick(performance.now());
		}

		if (overloaded !== null) {
			offerRequest(overloaded.admission, {
				requestId: `r${step}`, teamId: 't', target: 'm', cost: 200, priority: 0, deadlineAtMs: Number.MAX_SAFE_INTEGER,
			}, performance.now());
		}

		await delay(20);
	}
};

// If the load balancer sends all callers of a team to one of two entries, they
// would be refused at half of the team's limit. That entry must borrow the
// remainder over RPC until it has nearly the full limit, and the sum must never exceed it.
t.test('an entry borrows over RPC the share that another entry does not need', async t => {
	const addresses = new Map<string, string>();
	const first = await startNode(t, 'e1', addresses);
	const second = await startNode(t, 'e2', addresses);
	t.equal(rateOf(first), 0, 'no rate before the other entries are known');
	await runUntil([first, second], null, () => rateOf(first) + rateOf(second) === tokensPerSecond);
	t.equal(rateOf(first), tokensPerSecond / 2);
	let maxSum = 0;
	await runUntil([first, second], first, () => {
		maxSum = Math.max(maxSum, rateOf(first) + rateOf(second));
		return rateOf(first) > 0.95 * tokensPerSecond;
	});
	t.ok(maxSum <= tokensPerSecond * 1.000_001, `at most ${maxSum}`);
});

// After a restart of the only entry, its callers must not wait for a token bucket
// to fill: no other entry can have admitted requests at its expense.
t.test('a single entry starts with the full limit', async t => {
	const alone = await startNode(t, 'e1', new Map());
	await runUntil([alone], null, () => rateOf(alone) === tokensPerSecond);
	t.equal(alone.admission.teams.get('t')!.bucket!.level, tokensPerSecond * 10);
});

// Callers can reach this port too: without the token check, a caller could take a share away.
t.test('an entry lends nothing to a caller without a known token', async t => {
	const {address} = await startNode(t, 'e1', new Map());
	const request = {
		entryId: 'e2', incarnation: 1, number: 1, taken: 0, wants: {t: 100},
	};
	await t.rejects(callRpc({
		address, method: 'entry.shares', params: {token: 'a guess', request}, timeoutMs: 5000,
	}));
	t.match(await callRpc({
		address, method: 'entry.shares', params: {token: 'a shared token', request}, timeoutMs: 5000,
	}), {isCounted: false, loans: {}}, 'nor to an entry that control does not list');
});
