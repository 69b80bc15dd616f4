import process from 'node:process';
import {randomWeights} from '@bitternpaddle/daemon';
import {createFakeEngine, createFakeOrigin} from '@bitternpaddle/test-support';

/** The role of a fake that runs in its own process, passed as JSON in its only argument. */
export type FakeRole
	= | {readonly type: 'engine'}
		| {readonly type: 'origin'; readonly bytesPerSecond: number; readonly sizeBytes: number; readonly chunkSizeBytes: number; readonly seeds: readonly number[]};

export type PublishedVersion = {readonly manifestId: string; readonly digest: string};

export type FakeMessage
	= | {readonly type: 'listening'; readonly address: string; readonly versions: readonly PublishedVersion[]}
	/** Digest of the weights that the engine holds. */
		| {readonly type: 'holds'; readonly digest: string}
	/** Weight bytes that the origin has sent since it started. */
		| {readonly type: 'sent'; readonly sentBytes: number};

const reportIntervalMs = 100;

const send = (message: FakeMessage): void => {
	process.send!(message);
};

/** Polls `read` and sends a message whenever its value has changed. */
const reportChanges = <Value>(read: () => Value | null, toMessage: (value: Value) => FakeMessage): void => {
	let last: Value | null = null;
	setInterval(() => {
		const value = read();
		if (value !== null && value !== last) {
			last = value;
			send(toMessage(value));
		}
	}, reportIntervalMs);
};

const runEngine = async (): Promise<void> => {
	const engine = await createFakeEngine();
	send({type: 'listening', address: engine.address, versions: []});
	reportChanges(engine.heldDigest, digest => ({type: 'holds', digest}));
};

const runOrigin = async ({bytesPerSecond, sizeBytes, chunkSizeBytes, seeds}: Extract<FakeRole, {type: 'origin'}>): Promise<void> => {
	const origin = await createFakeOrigin({bytesPerSecond});
	const versions: PublishedVersion[] = [];
	for (const seed of seeds) {
		const {manifestId, manifest} = await origin.publish(randomWeights(seed, sizeBytes), chunkSizeBytes);
		versions.push({manifestId, digest: manifest.wholeDigest});
	}

	send({type: 'listening', address: origin.address, versions});
	reportChanges(origin.sentBytes, sentBytes => ({type: 'sent', sentBytes}));
};

process.once('disconnect', () => {
	process.exit();
});
const role = JSON.parse(process.argv[2]!) as FakeRole;
await (role.type === 'engine' ? runEngine() : runOrigin(role));
