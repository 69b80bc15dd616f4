import type {Links} from './links.js';

/** A node that a test kills, stops and starts again under the same id, folder and addresses. */
export type NodeHandle<Node> = {
	readonly nodeId: string;
	/** `undefined` while it is down. */
	node(): Node | undefined;
	start(): Promise<void>;
	/** Planned: the node ends its work first. */
	stop(): Promise<void>;
	/** At once, as a crash would. */
	kill(): Promise<void>;
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
	const start = async (): Promise<void> => {
		current = await options.start();
		await links.comeUp(nodeId, current.address);
	};

	const takeDown = async (end: (node: Node) => Promise<void>): Promise<void> => {
		const leaving = current;
		current = undefined;
		if (leaving !== undefined) {
			await end(leaving);
			links.goDown(nodeId);
		}
	};

	await start();
	return {
		nodeId,
		node: () => current,
		async start() {
			if (current === undefined) {
				await start();
			}
		},
		stop: async () => takeDown(options.stop),
		kill: async () => takeDown(options.kill),
	};
};
