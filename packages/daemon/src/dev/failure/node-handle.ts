import type {RelayModes} from '@bitternpaddle/test-support';
import {openModes, type Links} from './links.js';

export type StartOptions = {
	/** `asTheyAre`: cuts that were made while the node was down hold from its first byte on. @default 'opened' */
	readonly links?: 'opened' | 'asTheyAre';
};

/** A node that a test kills, stops and starts again under the same id, folder and addresses. */
export type NodeHandle<Node> = {
	readonly nodeId: string;
	/** `undefined` while it is down. */
	node(): Node | undefined;
	/** Does nothing while it is up. */
	start(options?: StartOptions): Promise<void>;
	/** Planned: the node ends its work first. */
	stop(): Promise<void>;
	/** At once, as a crash would. */
	kill(): Promise<void>;
	/** As a host does that loses power: nobody is told, connections fall silent; they end when it is back. */
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
	const start = async (startOptions: StartOptions = {}): Promise<void> => {
		current = await options.start();
		await links.comeUp(nodeId, current.address);
		if (startOptions.links !== 'asTheyAre') {
			setModes(openModes);
		}
	};

	const takeDown = async (kind: 'planned' | 'crash'): Promise<void> => {
		const leaving = current;
		current = undefined;
		if (leaving !== undefined) {
			await (kind === 'planned' ? options.stop(leaving) : options.kill(leaving));
			links.goDown(nodeId, kind);
		}
	};

	const setModes = (modes: RelayModes): void => {
		for (const {relay} of links.touching([nodeId])) {
			relay.setModes(modes);
		}
	};

	await start();
	return {
		nodeId,
		node: () => current,
		async start(startOptions) {
			if (current === undefined) {
				await start(startOptions);
			}
		},
		stop: async () => takeDown('planned'),
		kill: async () => takeDown('crash'),
		async lose() {
			const lost = current;
			current = undefined;
			setModes({forward: 'dropped', backward: 'dropped'});
			if (lost !== undefined) {
				await options.kill(lost);
			}
		},
	};
};
