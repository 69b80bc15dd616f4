import {createRelay, type Relay, type RelayModes} from '@bitternpaddle/test-support';

export type Link = {
	readonly from: string;
	readonly to: string;
	readonly relay: Relay;
};

/** All relays between the nodes of one cluster, by their ends. */
export type Links = {
	/** The address that stands for `to` as `from` sees it; the link comes about on first use. */
	addressOf(from: string, to: string): Promise<string>;
	/** All links that end at `to` lead to `address` from now on. */
	comeUp(to: string, address: string): Promise<void>;
	/** All links that end at `to` refuse connections; after a planned stop what was sent before still arrives. */
	goDown(to: string, end: 'planned' | 'crash'): void;
	/** Links with one end among `nodeIds`, at either side. */
	touching(nodeIds: readonly string[]): Link[];
	/** Everything passes again; connections that have lost bytes end. */
	heal(): void;
	close(): void;
};

/** Stands at the other end of a link that all nodes share. */
export const anyNode = '*';

export const openModes: RelayModes = {forward: 'open', backward: 'open'};

export type LinksOptions = {
	/** Of every link, one way. @default 0 */
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
		async comeUp(to, address) {
			targets.set(to, address);
			for (const link of links.values()) {
				if (link.to === to) {
					link.relay.setTarget(address);
					await link.relay.comeUp();
				}
			}
		},
		goDown(to, end) {
			for (const link of links.values()) {
				if (link.to === to && end === 'crash') {
					link.relay.goDown();
				} else if (link.to === to) {
					link.relay.stopListening();
				}
			}
		},
		touching: nodeIds => [...links.values()].filter(({from, to}) => nodeIds.includes(from) || nodeIds.includes(to)),
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
