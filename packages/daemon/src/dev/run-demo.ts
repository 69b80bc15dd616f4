import {createDevCluster, type DevCluster} from './create-dev-cluster.js';
import {
	postJson, sendLine, waitUntil, type CommandAnswer,
} from './client.js';

export type DemoOptions = {
	/** Prints one line of the session. */
	print(line: string): void;
	readonly recordFile?: string;
};

export type DemoResult = {readonly failures: readonly string[]};

type Session = {
	readonly cluster: DevCluster;
	readonly print: (line: string) => void;
	readonly failures: string[];
};

const teamKey = 'marshals-key';

/** Runs a complete session on the embedded system and checks every outcome. */
export const runDemo = async ({print, recordFile}: DemoOptions): Promise<DemoResult> => {
	const cluster = await createDevCluster({recordFile});
	const session: Session = {cluster, print, failures: []};
	try {
		await waitForAgents(session);
		await createAndLoad(session);
		await checkModelCalls(session);
		await checkLedgerCalls(session);
		await checkDrainAndStop(session);
	} finally {
		await cluster.close();
	}

	return {failures: session.failures};
};

const expectOutcome = ({print, failures}: Session, description: string, isTrue: boolean): void => {
	print(`  ${isTrue ? 'ok' : 'WRONG'}  ${description}`);
	if (!isTrue) {
		failures.push(description);
	}
};

const run = async ({cluster, print}: Session, line: string): Promise<CommandAnswer> => {
	print(`> ${line}`);
	const answer = await sendLine({address: cluster.entries[0]!.address, token: cluster.adminToken, line});
	for (const row of answer.body.rows ?? []) {
		print(`    ${Object.entries(row).map(([field, value]) => `${field}=${String(value)}`).join('  ')}`);
	}

	if (answer.body.rows === undefined) {
		print(`    ${answer.status} ${answer.body.type ?? ''} ${answer.body.message ?? answer.body.error?.message ?? ''}`.trimEnd());
	}

	return answer;
};

const queryRows = async ({cluster}: Session, line: string): Promise<Array<Record<string, unknown>>> => {
	const answer = await sendLine({address: cluster.entries[0]!.address, token: cluster.adminToken, line});
	return answer.body.rows ?? [];
};

const waitForAgents = async (session: Session): Promise<void> => {
	const {cluster, print} = session;
	print(`${cluster.controls.length} control voters, ${cluster.entries.length} entries, ${cluster.agents.length} agents on loopback`);
	await waitUntil('all agents joined', async () => {
		const rows = await queryRows(session, 'show hosts where role = agent');
		return rows.length === cluster.agents.length;
	});
	await run(session, 'show hosts');
};

const createAndLoad = async (session: Session): Promise<void> => {
	const {cluster} = session;
	const lines = [
		`create team marshals key ${teamKey}`,
		'create model pitch-desk',
		`create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}`,
		'create fleet fair-mornings provider new for pitch-desk:v1 replicas 6 in tacoma-hall, salem-hall, spokane-hall',
		'load pitch-desk:v1 on fleet fair-mornings',
	];
	for (const line of lines) {
		const answer = await run(session, line);
		expectOutcome(session, 'accepted', answer.body.type === 'accepted');
	}

	await waitUntil('six replicas ready', async () => {
		const rows = await queryRows(session, 'show replicas where ready = true');
		return rows.length === 6;
	});
	await run(session, 'show replicas');
	await run(session, 'show transfers');
	const copies = cluster.origin.sentBytes() / (1024 * 1024);
	expectOutcome(session, `${copies.toFixed(2)} copies were fetched from the origin for 6 replicas (maximum 1.5)`, copies <= 1.5);
	await run(session, 'show revision');
};

const sendPrompt = async ({cluster}: Session, entry: number, content: string, stream: boolean) => postJson({
	address: cluster.entries[entry]!.address, token: teamKey, path: '/v1/chat/completions',
	body: {
		model: 'pitch-desk', stream, max_tokens: 5, messages: [{role: 'user', content}],
	},
});

const checkModelCalls = async (session: Session): Promise<void> => {
	const {cluster, print} = session;
	for (const entry of cluster.entries.keys()) {
		const prompt = `power slot for stall ${entry + 1}?`;
		const answer = await sendPrompt(session, entry, prompt, true);
		print(`> POST /v1/chat/completions (entry ${entry + 1}, stream): ${prompt}`);
		print(`    ${answer.status} from ${String(answer.headers['x-bitternpaddle-host'])}, ${answer.text.length} bytes`);
		expectOutcome(session, 'the answer is complete and belongs to its request', answer.status === 200 && answer.text.includes(`echo ${prompt}`) && answer.text.endsWith('data: [DONE]\n\n'));
		expectOutcome(session, 'the answer is from the version in force', answer.headers['x-bitternpaddle-version'] === 'pitch-desk:v1');
		const digests = new Set([...answer.text.matchAll(/"system_fingerprint":"(sha256:[\da-f]+)"/gv)].map(found => found[1]));
		expectOutcome(session, 'every token was generated from complete and correct weights', digests.size === 1 && cluster.engines.some(engine => digests.has(engine.heldDigest() ?? '')));
	}
};

const checkLedgerCalls = async (session: Session): Promise<void> => {
	const {cluster, print} = session;
	const service = await run(session, 'create service ledger not-repeatable');
	expectOutcome(session, 'the ledger was already announced as not repeatable', service.status === 409);
	const sendBooking = async (entry: number) => postJson({
		address: cluster.entries[entry]!.address, token: teamKey, path: '/services/ledger/bookings', body: {pitch: 12}, headers: {'idempotency-key': 'pitch-12'},
	});
	const first = await sendBooking(0);
	const second = await sendBooking(1);
	print(`> POST /services/ledger/bookings, Idempotency-Key pitch-12, through both entries: ${first.status}, ${second.status}`);
	expectOutcome(session, 'the booking ran once and both callers received its answer', first.status === 200 && first.text === second.text && cluster.ledger.runsPerKey.get('pitch-12') === 1);
};

const checkDrainAndStop = async (session: Session): Promise<void> => {
	const {cluster} = session;
	const streams = Promise.all(Array.from({length: 12}, async (_, index) => sendPrompt(session, index % 2, `slow ${index}`, true)));
	const drained = await run(session, 'drain host h1');
	expectOutcome(session, 'accepted', drained.body.type === 'accepted');
	const answers = await streams;
	expectOutcome(session, 'draining the host interrupted no stream', answers.every(answer => answer.text.endsWith('data: [DONE]\n\n')));
	await waitUntil('the drain is in force', async () => {
		const [row] = await queryRows(session, 'show revision');
		return row?.missing === '' && Number(row.revision) >= drained.body.revision!;
	});
	const runsBefore = cluster.engines[0]!.runs.length;
	const answersAfterDrain = await Promise.all(Array.from({length: 12}, async (_, index) => sendPrompt(session, index % 2, `later ${index}`, false)));
	expectOutcome(session, 'callers are served by the other hosts', answersAfterDrain.every(answer => answer.status === 200));
	expectOutcome(session, 'the drained host receives no new requests', cluster.engines[0]!.runs.length === runsBefore);
	const leaving = cluster.agents[1]!;
	await leaving.stop();
	await run(session, 'show hosts where role = agent');
	const answersAfterStop = await Promise.all(Array.from({length: 12}, async (_, index) => sendPrompt(session, index % 2, `last ${index}`, false)));
	expectOutcome(session, `after ${leaving.hostId} stopped, callers are served by the other hosts`, answersAfterStop.every(answer => answer.status === 200));
};
