import type {RelayModes} from '@bitternpaddle/test-support';
import {openModes, type Links} from './links.js';

export type StartOptions = {
	/** `asTheyAre`: partitions that were created while the node was down apply from its first byte on. @default 'opened' */
	readonly links?: 'opened' | 'asTheyAre';
};

/** A node that a test can kill, stop and restart with the same id, folder and addresses. */
export type NodeHandle<Node> = {
	readonly nodeId: string;
	/** `undefined` while it is down. */
	node(): Node | undefined;
	/** Does nothing while the node is up. */
	start(options?: StartOptions): Promise<void>;
	/** Stops the node gracefully: it finishes its requests first. */
	stop(): Promise<void>;
	/** Stops the node immediately, as in a crash. */
	kill(): Promise<void>;
	/** Simulates a power loss: peers are not notified and connections go silent, until they are closed when the node is back. */
	lose(): Promise<void>;
};

export type NodeHandleOptions<Node> = {
	readonly nodeId: string;
	readonly links: Links;
	start(): Promise<Node>;
	stop(node: Node): Promise<void>;
	kill(node: Node): Promise<void>;
};

export const createNodeHandle = async <Node extends {readonly address: string}>(options: NodeHandleOptions<Node>): Promise<NodeHandle<Node>> => {
	const {nodeId, links} = options;
	let current: Node | undefined;
	/** The node that is being stopped or killed, if any. */
	let terminating: Node | undefined;
	let termination: Promise<void> = Promise.resolve();
	/** Concurrent calls of `start` share one start. */
	let starting: Promise<void> | undefined;
	const start = async (startOptions: StartOptions = {}): Promise<void> => {
		current = await options.start();
		await links.connect(nodeId, current.address);
		if (startOptions.links !== 'asTheyAre') {
			setModes(openModes);
		}
	};

	const terminateNode = async (node: Node, kind: 'planned' | 'crash'): Promise<void> => {
		terminating = node;
		await (kind === 'planned' ? options.stop(node) : options.kill(node));
		links.disconnect(nodeId, kind);
		terminating = undefined;
	};

	const terminate = async (kind: 'planned' | 'crash'): Promise<void> => {
		const node = current;
		current = undefined;
		if (node !== undefined) {
			termination = terminateNode(node, kind);
		}

		await termination;
	};

	const setModes = (modes: RelayModes): void => {
		for (const {relay} of links.adjacentTo([nodeId])) {
			relay.setModes(modes);
		}
	};

	await start();
	return {
		nodeId,
		node: () => current,
		async start(startOptions) {
			// Otherwise the termination of the previous node would take down the links of the new one.
			await termination;
			if (current === undefined) {
				starting ??= start(startOptions).finally(() => {
					starting = undefined;
				});
				await starting;
			}
		},
		stop: async () => terminate('planned'),
		kill: async () => terminate('crash'),
		async lose() {
			// Also applies to a node in the middle of a planned stop, because a power loss does not wait for its end.
			const lostNode = current ?? terminating;
			current = undefined;
			setModes({forward: 'dropped', backward: 'dropped'});
			const killing = lostNode === undefined ? undefined : options.kill(lostNode);
			termination = Promise.all([termination, killing]).then(() => undefined);
			await termination;
		},
	};
};
