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
	/** The node that is being stopped or killed. */
	let leaving: Node | undefined;
	let ended: Promise<void> = Promise.resolve();
	/** Two who ask for a start at once get one node. */
	let starting: Promise<void> | undefined;
	const start = async (startOptions: StartOptions = {}): Promise<void> => {
		current = await options.start();
		await links.comeUp(nodeId, current.address);
		if (startOptions.links !== 'asTheyAre') {
			setModes(openModes);
		}
	};

	const endNode = async (node: Node, kind: 'planned' | 'crash'): Promise<void> => {
		leaving = node;
		await (kind === 'planned' ? options.stop(node) : options.kill(node));
		links.goDown(nodeId, kind);
		leaving = undefined;
	};

	const takeDown = async (kind: 'planned' | 'crash'): Promise<void> => {
		const node = current;
		current = undefined;
		if (node !== undefined) {
			ended = endNode(node, kind);
		}

		await ended;
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
			// The links of a node that comes up would be taken down by the end of the one before.
			await ended;
			if (current === undefined) {
				starting ??= start(startOptions).finally(() => {
					starting = undefined;
				});
				await starting;
			}
		},
		stop: async () => takeDown('planned'),
		kill: async () => takeDown('crash'),
		async lose() {
			// Also in the middle of a planned stop: power does not wait for its end.
			const lost = current ?? leaving;
			current = undefined;
			setModes({forward: 'dropped', backward: 'dropped'});
			const killed = lost === undefined ? undefined : options.kill(lost);
			ended = Promise.all([ended, killed]).then(() => undefined);
			await ended;
		},
	};
};
