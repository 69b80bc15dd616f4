/** The axes of a slope. Its key in `slopeDefinitions` is the name that docs/CAPACITY.md quotes. */
export type SlopeDefinition = {
	/** What `x` counts, in the singular. */
	readonly per: string;
	/** Unit of `y`. */
	readonly unit: string;
};

export const slopeDefinitions = {
	'control.watch.processor': {per: 'watching host', unit: 'ms/s of processor, leader'},
	'control.watch.bytes': {per: 'watching host', unit: 'B/s in and out, leader'},
	'control.watch.memory': {per: 'watching host', unit: 'B private, leader'},
	'control.change.processor': {per: 'watching host', unit: 'ms of processor a change, leader'},
	'control.change.bytes': {per: 'watching host', unit: 'B in and out a change, leader'},
	'control.change.latency': {per: 'watching host', unit: 'ms from command to last host'},
	'control.fold.processor': {per: 'host watching a follower', unit: 'ms/s of processor, leader'},
	'control.fold.bytes': {per: 'host watching a follower', unit: 'B/s in and out, leader'},
	'control.member.processor': {per: 'other control host', unit: 'ms/s of processor, leader'},
	'control.member.bytes': {per: 'other control host', unit: 'B/s in and out, leader'},
	'control.host.memory': {per: 'host in the catalog', unit: 'B of heap'},
	'control.claim.memory': {per: 'claim', unit: 'B of heap'},
	'control.result.memory': {per: 'retained result', unit: 'B of heap'},
	'control.reconcile.processor': {per: 'host in the catalog', unit: 'ms of processor a round'},
	'control.snapshot.size': {per: 'host in the catalog', unit: 'B on disk'},
	'control.snapshot.time': {per: 'host in the catalog', unit: 'ms'},
	'control.snapshot.stall': {per: 'host in the catalog', unit: 'ms that the event loop is blocked'},
	'control.restart.time': {per: 'log entry', unit: 'ms'},
	'control.log.size': {per: 'change', unit: 'B on disk'},
	'control.log.syncs': {per: 'change, one at a time', unit: 'syncs'},
	'control.log.batch': {per: 'change, 64 at a time', unit: 'syncs'},
	'host.join.processor': {per: 'host in the catalog', unit: 'ms of processor a join'},
	'host.leave.processor': {per: 'host in the catalog', unit: 'ms of processor a loss'},
	'host.load.processor': {per: 'thousand hosts squared', unit: 'ms of processor a first load'},
	'host.catalog.size': {per: 'host in the catalog', unit: 'B of a snapshot on the wire'},
	'entry.index.memory': {per: 'endpoint', unit: 'B of heap'},
	'entry.index.processor': {per: 'endpoint', unit: 'ms of processor a rebuild'},
	'entry.idle.processor': {per: 'second', unit: 'ms of processor'},
	'entry.idle.bytes': {per: 'second', unit: 'B in and out'},
	'entry.catalog.memory': {per: 'host in the catalog', unit: 'B private'},
	'entry.stream.processor': {per: 'token of a request', unit: 'ms of processor a request'},
	'entry.stream.bytes': {per: 'token of a request', unit: 'B in and out a request'},
	'entry.tokens.processor': {per: 'thousand tokens/s', unit: '% of a core'},
	'entry.tokens.first': {per: 'thousand tokens/s', unit: 'ms added to the first token, p95'},
	'entry.tokens.gap': {per: 'thousand tokens/s', unit: 'ms between tokens, p95'},
	'agent.idle.processor': {per: 'second', unit: 'ms of processor'},
	'agent.idle.bytes': {per: 'second', unit: 'B in and out'},
	'agent.catalog.memory': {per: 'host in the catalog', unit: 'B private'},
	'agent.stream.processor': {per: 'token of a request', unit: 'ms of processor a request'},
	'agent.stream.bytes': {per: 'token of a request', unit: 'B in and out a request'},
	'swarm.have.memory': {per: 'chunk that a neighbour holds', unit: 'B of heap'},
	'swarm.have.messages': {per: 'chosen neighbour', unit: 'messages a chunk and host'},
	'swarm.store.processor': {per: 'chunk of the manifest', unit: 'ms of processor a stored chunk'},
	'swarm.peers.processor': {per: 'chunk of the manifest', unit: 'ms of processor a change of 1,500 peers'},
	'swarm.manifest.size': {per: 'chunk', unit: 'B'},
} as const satisfies Record<string, SlopeDefinition>;

export type SlopeName = keyof typeof slopeDefinitions;

export const slopeNames = Object.keys(slopeDefinitions) as SlopeName[];
