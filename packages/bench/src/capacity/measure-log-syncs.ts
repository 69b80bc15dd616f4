import {createConsensusDriver, type ConsensusDriver} from '@bitternpaddle/daemon';
import {commandSchema, openLogStore, type LogEntry} from '@bitternpaddle/state';
import {withTemporaryFolder, type Measured} from './measure-state.js';
import type {Point} from './slope.js';

const counts = [64, 128, 256, 512] as const;
const batchSize = 64;

const createPayload = (number: number): LogEntry['payload'] => ({
	type: 'command', command: commandSchema.parse({commandId: `command-${number}`, ifRevision: null, change: {type: 'createModel', modelId: `model-${number}`}}),
});

/** Creates a counter whose `reach` resolves once the count has reached a target. */
const createCounter = () => {
	let count = 0;
	let waiting: {readonly target: number; resolve(): void} | null = null;
	return {
		add(): void {
			count++;
			if (waiting !== null && count >= waiting.target) {
				waiting.resolve();
				waiting = null;
			}
		},
		async reach(target: number): Promise<void> {
			if (count < target) {
				await new Promise<void>(resolve => {
					waiting = {target, resolve};
				});
			}
		},
	};
};

/** Proposes `count` changes to a single voter, `concurrency` at a time, and returns the number of log syncs. */
const countSyncs = async (count: number, concurrency: number): Promise<number> => withTemporaryFolder(async folder => {
	const store = await openLogStore({folder});
	const committed = createCounter();
	const leaderships = createCounter();
	const driver: ConsensusDriver = createConsensusDriver({
		selfId: 'c1', initialMembers: {voters: ['c1'], learners: []}, store, seed: 1,
		send() {
			throw new Error('a single voter must not send messages');
		},
		onCommit({payload}) {
			if (payload.type === 'command' && payload.command.change.type === 'createModel') {
				committed.add();
			}
		},
		onSnapshot() {
			throw new Error('unexpected snapshot');
		},
		onRoleChange({role}) {
			if (role === 'leader') {
				leaderships.add();
			}
		},
		onFailure(error) {
			throw error;
		},
	});
	await leaderships.reach(1);
	// The first entry of the term is synced before the count starts.
	driver.propose(createPayload(0));
	await committed.reach(1);
	const before = store.syncCount();
	for (let done = 0; done < count; done += concurrency) {
		for (let offset = 0; offset < concurrency; offset++) {
			driver.propose(createPayload(done + offset + 1));
		}

		await committed.reach(1 + done + concurrency);
	}

	const syncs = store.syncCount() - before;
	await driver.close();
	return syncs;
});

export const measureLogSyncs = async (): Promise<Measured> => {
	const single: Point[] = [];
	const batched: Point[] = [];
	for (const x of counts) {
		single.push({x, y: await countSyncs(x, 1)});
		batched.push({x, y: await countSyncs(x, batchSize)});
	}

	return {'control.log.syncs': single, 'control.log.batch': batched};
};
