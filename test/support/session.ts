import process from 'node:process';
import type {Test} from 'tap';
import {
	createDevCluster, postJson, sendLine, waitUntil, type ClientAnswer, type DevCluster, type DevClusterOptions,
} from '@bitternpaddle/daemon';
import type {QueryRow} from '@bitternpaddle/protocol';
import {runProgram} from './run-program.js';

/** A recorded operator session that is compared with a snapshot. */
export type Session = {
	readonly cluster: DevCluster;
	readonly flags: readonly string[];
	/** Runs `bitternpaddle` with these arguments, which the transcript shows, and with the flags that connect to the entry. */
	type(...argv: string[]): Promise<void>;
	/** Returns the rows of a query without adding it to the transcript. */
	queryRows(line: string): Promise<readonly QueryRow[]>;
	/** Waits until a query returns that many rows, without adding it to the transcript. */
	waitForRows(line: string, count: number): Promise<void>;
	inForceEverywhere(): Promise<void>;
	/** Sends `count` requests through all entries in turn; the transcript shows whether all, some or none got a complete answer. */
	callers(count: number): Promise<void>;
	/** Sends requests, whatever their outcome, until a query returns that many rows. */
	callersUntil(line: string, count: number): Promise<void>;
	note(text: string): void;
	transcript(): string;
};

export const teamKey = 'marshals-key';

export const streamBody = (content: string, maxTokens = 5) => ({
	model: 'pitch-desk', stream: true, max_tokens: maxTokens, messages: [{role: 'user', content}],
});

export const isCompleteStream = ({status, text}: ClientAnswer): boolean => status === 200 && text.endsWith('data: [DONE]\n\n');

/**
 * Removes what differs from run to run: revisions, ports, times, ids and byte counts, and
 * progress lines (such as those of an election during a wait), which depend on the machine.
 */
const normalizeOutput = (text: string): string => text
	.split('\n')
	.filter(line => !/^(?:in force on|\d+\/\d+ replicas ready|control cannot be asked)/v.test(line))
	.join('\n')
	.replaceAll(/revision \d+/gv, 'revision N')
	.replaceAll(/it is \d+$/gmv, 'it is N')
	.replaceAll(/127\.0\.0\.1:\d+/gv, 'IP:PORT')
	.replaceAll(/\d+ of \d+ requests/gv, 'N of N requests')
	.replaceAll(/fencing number \d+/gv, 'fencing number N')
	.replaceAll(/\d+ bytes from the origin, \d+ from peers/gv, 'N bytes from the origin, N from peers');

/** Sends `count` concurrent requests through all entries in turn; `null` for one without any response. */
const sendRequests = async (cluster: DevCluster, count: number): Promise<Array<ClientAnswer | null>> => Promise.all(Array.from({length: count}, async (_, index) => postJson({
	address: cluster.entries[index % cluster.entries.length]!.address, token: teamKey, path: '/v1/chat/completions', body: streamBody(`question ${index}`),
}).catch(() => null)));

export const startSession = async (t: Test, options: DevClusterOptions): Promise<Session> => {
	const cluster = await createDevCluster(options);
	t.teardown(async () => cluster.close());
	const [entry] = cluster.entries;
	const client = {address: entry!.address, token: cluster.adminToken};
	const flags = ['--address', client.address, '--token', client.token];
	const transcriptParts: string[] = [];
	const queryRows = async (line: string): Promise<readonly QueryRow[]> => (await sendLine({...client, line})).body.rows ?? [];
	const session: Session = {
		cluster, flags, queryRows,
		async type(...argv) {
			const {code, text} = await runProgram([...argv, ...flags]);
			const command = argv.map(word => word.includes(' ') ? `"${word}"` : word).join(' ');
			transcriptParts.push(`$ bitternpaddle ${command}\n${normalizeOutput(text).trimEnd()}${code === 0 ? '' : `\n(exit code ${code})`}\n`);
		},
		async waitForRows(line, count) {
			await waitUntil(`${count} rows of: ${line}`, async () => (await queryRows(line)).length === count);
		},
		async inForceEverywhere() {
			await waitUntil('in force on all hosts', async () => (await queryRows('show revision'))[0]?.missing === '');
		},
		async callers(count) {
			const answers = await sendRequests(cluster, count);
			const completeCount = answers.filter(answer => answer !== null && isCompleteStream(answer)).length;
			transcriptParts.push(`(${count} callers: ${completeCount === count ? 'all' : (completeCount === 0 ? 'none' : 'some')} got a whole answer)\n`);
		},
		async callersUntil(line, count) {
			await waitUntil(`requests sent until ${count} rows of: ${line}`, async () => {
				await sendRequests(cluster, 8);
				return (await queryRows(line)).length === count;
			});
			transcriptParts.push(`(callers ask until \`${line}\` has ${count === 1 ? 'a row' : `${count} rows`})\n`);
		},
		note(text) {
			transcriptParts.push(`(${text})\n`);
		},
		transcript: () => `${transcriptParts.join('\n').replaceAll(process.cwd(), '.')}`,
	};
	await session.waitForRows('show hosts where role = agent', cluster.agents.length);
	return session;
};

/** Loads the first version on one fleet and creates a team whose requests are accepted. */
export const loadFirstVersion = async (session: Session, fleet: string, provider: string, replicas: number): Promise<void> => {
	const {cluster, type} = session;
	await type('run', `create team marshals key ${teamKey}`);
	await type('run', 'create model pitch-desk');
	await type('run', `create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}`);
	await type('run', `create fleet ${fleet} provider ${provider} for pitch-desk:v1 replicas ${replicas}`);
	await type('run', '--wait', `load pitch-desk:v1 on fleet ${fleet}`);
	await session.inForceEverywhere();
};
