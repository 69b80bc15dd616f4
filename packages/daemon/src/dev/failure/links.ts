import {createRelay, type Relay, type RelayModes} from '@bitternpaddle/test-support';

export type Link = {
	readonly from: string;
	readonly to: string;
	readonly relay: Relay;
};

/** The relays between the nodes of one cluster, by source and destination. */
export type Links = {
	/** The relay address at which `from` reaches `to`; the link is created on first use. */
	addressOf(from: string, to: string): Promise<string>;
	/** Forwards all links to `to` to `address` from now on. */
	connect(to: string, address: string): Promise<void>;
	/** Makes all links to `to` refuse connections; after a planned stop, data that was already sent still arrives. */
	disconnect(to: string, mode: 'planned' | 'crash'): void;
	/** Links whose source or destination is one of `nodeIds`. */
	adjacentTo(nodeIds: readonly string[]): Link[];
	/** Forwards everything again and closes connections that have lost bytes. */
	heal(): void;
	close(): void;
};

/** Source of a link that is shared by all nodes. */
export const anyNode = '*';

export const openModes: RelayModes = {forward: 'open', backward: 'open'};

export type LinksOptions = {
	/** One-way latency of every link. @default 0 */
	readonly latencyMs?: number;
};

export const createLinks = ({latencyMs = 0}: LinksOptions = {}): Links => {
	const links = new Map<string, Link>();
	const targets = new Map<string, string>();
	return {
		async addressOf(from, to) {
			const key = `${from}>${to}`;
			const link = links.get(key) ?? {from, to, relay: await createRelay({target: targets.get(to), latencyMs})};
			links.set(key, link);
			return link.relay.address;
		},
		async connect(to, address) {
			targets.set(to, address);
			for (const link of links.values()) {
				if (link.to === to) {
					link.relay.setTarget(address);
					await link.relay.comeUp();
				}
			}
		},
		disconnect(to, mode) {
			for (const link of links.values()) {
				if (link.to === to && mode === 'crash') {
					link.relay.goDown();
				} else if (link.to === to) {
					link.relay.stopListening();
				}
			}
		},
		adjacentTo: nodeIds => [...links.values()].filter(({from, to}) => nodeIds.includes(from) || nodeIds.includes(to)),
		heal() {
			for (const {relay} of links.values()) {
				relay.setModes(openModes);
				relay.endSilentConnections();
			}
		},
		close() {
			for (const {relay} of links.values()) {
				relay.close();
			}
		},
	};
};
