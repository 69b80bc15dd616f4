import {randomUUID} from 'node:crypto';
import type {CommandOutcome} from '@bitternpaddle/test-support';
import {sendLine, waitUntil, type CommandAnswer} from '../client.js';
import type {FailureCluster} from './create-failure-cluster.js';

export type OperateOptions = {
	/** Position of the entry that gets the command. @default the first that is running */
	readonly entry?: number;
	/** @default a new one */
	readonly commandId?: string;
	readonly ifRevision?: number;
	/** @default 6000 */
	readonly timeoutMs?: number;
};

const addressOfEntry = (cluster: FailureCluster, position: number | undefined): string => {
	const entries = position === undefined ? cluster.entries : [cluster.entries[position]!];
	const running = entries.find(entry => entry.node() !== undefined);
	if (running === undefined) {
		throw new Error('no entry is running');
	}

	return running.node()!.address;
};

/** Sends one command as an operator and records its outcome. */
export const operate = async (cluster: FailureCluster, line: string, options: OperateOptions = {}): Promise<CommandOutcome> => {
	const {commandId = randomUUID(), ifRevision, timeoutMs = 6000} = options;
	let outcome: CommandOutcome;
	try {
		const {body} = await sendLine({
			address: addressOfEntry(cluster, options.entry), token: cluster.adminToken, line, commandId, ifRevision, idleTimeoutMs: timeoutMs,
		});
		outcome = toOutcome(body);
	} catch {
		outcome = {type: 'unknown'};
	}

	cluster.history.record({
		type: 'commandEnded', commandId, line, ifRevision: ifRevision ?? null, outcome,
	});
	return outcome;
};

const toOutcome = ({type, revision, message = ''}: CommandAnswer['body']): CommandOutcome => {
	if (type === 'accepted') {
		return {type: 'accepted', revision: revision!};
	}

	return type === 'refused' ? {type: 'refused', message} : {type: 'unknown'};
};

export const queryRows = async (cluster: FailureCluster, line: string): Promise<NonNullable<CommandAnswer['body']['rows']>> => {
	try {
		const {body} = await sendLine({
			address: addressOfEntry(cluster, undefined), token: cluster.adminToken, line, idleTimeoutMs: 3000,
		});
		return body.rows ?? [];
	} catch {
		return [];
	}
};

/** Retries the command with the same id until its outcome is known; throws if it is refused. */
export const mustOperate = async (cluster: FailureCluster, line: string, options: {readonly entry?: number} = {}): Promise<number> => {
	const commandId = randomUUID();
	let revision = 0;
	await waitUntil(line, async () => {
		const outcome = await operate(cluster, line, {...options, commandId});
		if (outcome.type === 'refused') {
			throw new Error(`${line}: ${outcome.message}`);
		}

		revision = outcome.type === 'accepted' ? outcome.revision : 0;
		return outcome.type === 'accepted';
	});
	return revision;
};

export const failureTeamKey = 'marshals-key';

/** Creates one team and two versions of `pitch-desk`, and loads the first version on all engines. */
export const loadFirstVersion = async (cluster: FailureCluster): Promise<void> => {
	await waitUntil('all agents joined', async () => (await queryRows(cluster, 'show hosts where role = agent')).length === cluster.agents.length);
	await mustOperate(cluster, `create team marshals key ${failureTeamKey}`);
	await mustOperate(cluster, 'create model pitch-desk');
	for (const [index, {manifestId, digest}] of cluster.manifests.entries()) {
		const versionId = `pitch-desk:v${index + 1}`;
		cluster.history.record({type: 'versionPublished', versionId, digest});
		await mustOperate(cluster, `create version ${versionId} from manifest ${manifestId}`);
	}

	await mustOperate(cluster, `create fleet fair provider new for pitch-desk:v1 replicas ${cluster.engines.size}`);
	await mustOperate(cluster, 'load pitch-desk:v1 on fleet fair');
	await waitUntil('all replicas ready', async () => (await queryRows(cluster, 'show replicas where ready = true')).length === cluster.engines.size);
	// Entries receive the last replicas shortly after control.
	await waitUntil('in force everywhere', async () => (await queryRows(cluster, 'show revision'))[0]?.missing === '');
};
