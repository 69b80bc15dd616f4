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
		askShares: async (address, request) => entrySharesAnswerSchema.parse(await callRpc<unknown>({
			address, method: 'entry.shares', params: {token: 'a shared token', request}, timeoutMs: 5000,
		})),
	});
	const rpc = createEntryRpc({
		entryId, tokens, counter: createBurnCounter(), requests: createRequestLog({entryId, serviceOf: () => '', onEnd: () => undefined}), answerShares: request => shares.answer(request),
		hearCrashes: () => undefined,
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

/** Ticks all entries until the condition holds; `busy` is asked for far more than the limit. */
const runUntil = async (nodes: readonly Node[], busy: Node | null, holds: () => boolean): Promise<void> => {
	for (let step = 0; !holds(); step++) {
		for (const {shares} of nodes) {
			shares.tick(performance.now());
		}

		if (busy !== null) {
			offerRequest(busy.admission, {
				requestId: `r${step}`, teamId: 't', target: 'm', cost: 200, priority: 0, deadlineAtMs: Number.MAX_SAFE_INTEGER,
			}, performance.now());
		}

		await delay(20);
	}
};

// A team's callers are refused at half of its limit, since the balancer sends
// them all to one of two entries. That entry asks the other over its port, and
// has the whole limit after a while; the sum stays within the limit all the time.
t.test('an entry borrows over the wire what the other does not need', async t => {
	const addresses = new Map<string, string>();
	const first = await startNode(t, 'e1', addresses);
	const second = await startNode(t, 'e2', addresses);
	t.equal(rateOf(first), 0, 'nothing before it is known who shares the limit');
	await runUntil([first, second], null, () => rateOf(first) + rateOf(second) === tokensPerSecond);
	t.equal(rateOf(first), tokensPerSecond / 2);
	let worst = 0;
	await runUntil([first, second], first, () => {
		worst = Math.max(worst, rateOf(first) + rateOf(second));
		return rateOf(first) > 0.95 * tokensPerSecond;
	});
	t.ok(worst <= tokensPerSecond * 1.000_001, `at most ${worst}`);
});

// A restart of the only entry must not make its callers wait for a bucket to
// fill: nobody else can have let through what would be in it.
t.test('an entry that is alone begins with the whole limit', async t => {
	const alone = await startNode(t, 'e1', new Map());
	await runUntil([alone], null, () => rateOf(alone) === tokensPerSecond);
	t.equal(alone.admission.teams.get('t')!.bucket!.level, tokensPerSecond * 10);
});

// A caller reaches this port too. One without the token would take a share away.
t.test('an entry lends to nobody without a token that it knows', async t => {
	const {address} = await startNode(t, 'e1', new Map());
	const request = {
		entryId: 'e2', incarnation: 1, number: 1, taken: 0, wants: {t: 100},
	};
	await t.rejects(callRpc({
		address, method: 'entry.shares', params: {token: 'a guess', request}, timeoutMs: 5000,
	}));
	t.match(await callRpc({
		address, method: 'entry.shares', params: {token: 'a shared token', request}, timeoutMs: 5000,
	}), {isCounted: false, loans: {}}, 'nor to one that control does not name');
});
