import {
	openModes, operate, queryRows, type FailureCluster, type Link, type NodeHandle,
} from '@bitternpaddle/daemon';
import type {EngineFaults} from '@bitternpaddle/test-support';
import {match} from 'ts-pattern';
import type {PlannedFault} from './schedule.js';
import {booking, callThrough} from './traffic.js';

/** A fault that has begun. */
export type ActiveFault = {
	/** Work that the fault itself started, such as racing operators. */
	readonly done: Promise<unknown>;
	/** Takes it back. */
	undo(): Promise<void>;
};

export type FaultContext = {
	readonly cluster: FailureCluster;
	readonly fault: PlannedFault;
	/** Unique among all faults of the cluster. */
	readonly name: string;
	/** Says, before anything fails, which nodes the fault touches. */
	touch(nodeIds: readonly string[]): void;
};

const pick = <Item>(items: readonly Item[], draw: number): Item => items[draw % items.length]!;

const nothing = async (): Promise<void> => undefined;

const killed = async ({touch}: FaultContext, handle: NodeHandle<unknown>): Promise<ActiveFault> => {
	touch([handle.nodeId]);
	await handle.kill();
	return {done: Promise.resolve(), undo: async () => handle.start()};
};

const lost = async ({touch}: FaultContext, handle: NodeHandle<unknown>): Promise<ActiveFault> => {
	touch([handle.nodeId]);
	await handle.lose();
	return {done: Promise.resolve(), undo: async () => handle.start()};
};

/** A planned stop, and a start once the node has ended. */
const stopped = async ({touch, cluster: {history}}: FaultContext, handle: NodeHandle<unknown>): Promise<ActiveFault> => {
	touch([]);
	history.record({type: 'leaveStarted', nodeId: handle.nodeId, cause: 'stop'});
	const done = handle.stop();
	return {
		done, async undo() {
			await done;
			history.record({type: 'leaveEnded', nodeId: handle.nodeId});
			await handle.start();
		},
	};
};

const allNodeIds = ({controls, entries, agents}: FailureCluster): string[] => [...controls, ...entries, ...agents].map(handle => handle.nodeId);

const onLinks = (links: readonly Link[], apply: (link: Link) => void): ActiveFault => {
	for (const link of links) {
		apply(link);
	}

	return {
		done: Promise.resolve(), async undo() {
			for (const {relay} of links) {
				relay.setModes(openModes);
				relay.endSilentConnections();
			}
		},
	};
};

/** One node cut from another one, or from all, in both directions or one. */
const linkFault = ({cluster, touch, fault: {draw, kind}}: FaultContext): ActiveFault => {
	const nodeId = pick(allNodeIds(cluster), draw);
	const links = cluster.links.touching([nodeId]);
	const chosen = draw % 2 === 0 ? links : [pick(links, draw)];
	const modes = kind === 'linkOneWayCut' && draw % 3 === 0 ? {forward: 'dropped', backward: 'open'} as const : {forward: 'open', backward: 'dropped'} as const;
	touch([nodeId, ...chosen.flatMap(({from, to}) => [from, to])]);
	return onLinks(chosen, ({relay}) => {
		relay.setModes(kind === 'linkCut' ? {forward: 'dropped', backward: 'dropped'} : modes);
	});
};

const silentConnection = ({cluster, touch, fault: {draw}}: FaultContext): ActiveFault => {
	const nodeId = pick(allNodeIds(cluster), draw);
	touch([nodeId]);
	return onLinks(cluster.links.touching([nodeId]), ({relay}) => {
		relay.silenceOpenConnections();
	});
};

/** One process cannot freeze a part of itself, so everything to and from the node arrives late instead. */
const frozen = ({cluster, touch, fault: {draw}}: FaultContext): ActiveFault => {
	const nodeId = pick(allNodeIds(cluster), draw);
	touch([nodeId]);
	return onLinks(cluster.links.touching([nodeId]), ({relay}) => {
		relay.setModes({forward: 'held', backward: 'held'});
	});
};

const engineFault = ({cluster, touch, fault: {draw}}: FaultContext, faults: EngineFaults): ActiveFault => {
	const [hostId, engine] = pick([...cluster.engines], draw);
	touch([hostId]);
	Object.assign(engine.faults, faults);
	return {
		done: Promise.resolve(), async undo() {
			for (const name of Object.keys(faults) as Array<keyof EngineFaults>) {
				engine.faults[name] = undefined;
			}
		},
	};
};

const serviceFault = ({touch, cluster: {ledger, agents}}: FaultContext, name: 'isCutAfterRun' | 'isSilent'): ActiveFault => {
	touch([agents.at(-1)!.nodeId]);
	ledger.faults[name] = true;
	return {
		done: Promise.resolve(), async undo() {
			ledger.faults[name] = false;
		},
	};
};

/** An order or a race, which no node need notice. */
const ordered = (context: FaultContext, work: (context: FaultContext) => Promise<unknown>): ActiveFault => {
	context.touch([]);
	return {done: work(context), undo: nothing};
};

const newVersion = async ({cluster, fault: {draw}, name}: FaultContext): Promise<string> => {
	const {manifestId, digest} = pick(cluster.manifests, draw);
	const versionId = `pitch-desk:${name}`;
	cluster.history.record({type: 'versionPublished', versionId, digest});
	await operate(cluster, `create version ${versionId} from manifest ${manifestId}`);
	await operate(cluster, `load ${versionId} on fleet fair`);
	return versionId;
};

const corruptChunks = (context: FaultContext): ActiveFault => {
	const {faults} = context.cluster.origin;
	context.touch([]);
	faults.isCorrupting = true;
	return {
		done: newVersion(context), async undo() {
			faults.isCorrupting = false;
		},
	};
};

const withdrawInMidLoad = async (context: FaultContext): Promise<void> => {
	const versionId = await newVersion(context);
	await operate(context.cluster, `withdraw version ${versionId}`);
};

const drained = async ({cluster, touch, fault: {draw}}: FaultContext): Promise<ActiveFault> => {
	touch([]);
	const {nodeId} = pick(cluster.agents.slice(0, -1), draw);
	const outcome = await operate(cluster, `drain host ${nodeId}`);
	if (outcome.type === 'accepted') {
		cluster.history.record({type: 'leaveStarted', nodeId, cause: 'drain'});
	}

	return {
		done: Promise.resolve(), async undo() {
			// Work may come from the moment on at which the order is sent.
			cluster.history.record({type: 'leaveEnded', nodeId});
			await operate(cluster, `undrain host ${nodeId}`);
		},
	};
};

/** The operator's order: the agent ends by itself, and its host comes back later. */
const stoppedByOrder = async ({cluster, touch, fault: {draw}}: FaultContext): Promise<ActiveFault> => {
	touch([]);
	const handle = pick(cluster.agents.slice(0, -1), draw);
	const outcome = await operate(cluster, `stop host ${handle.nodeId}`);
	if (outcome.type === 'accepted') {
		cluster.history.record({type: 'leaveStarted', nodeId: handle.nodeId, cause: 'stop'});
	}

	return {
		done: Promise.resolve(), async undo() {
			await handle.stop();
			cluster.history.record({type: 'leaveEnded', nodeId: handle.nodeId});
			await handle.start();
		},
	};
};

const resendCommand = async ({cluster, name}: FaultContext): Promise<void> => {
	const line = `create model model-${name}`;
	const commandId = `resent-${name}`;
	await Promise.all([0, 1, 0].map(async entry => operate(cluster, line, {entry, commandId}).catch(() => undefined)));
	await operate(cluster, line, {commandId});
};

const raceOperators = async ({cluster, name}: FaultContext): Promise<void> => {
	const [row] = await queryRows(cluster, 'show revision');
	const ifRevision = Number(row?.revision ?? 0);
	await Promise.all([0, 1, 0, 1].map(async (entry, racer) => operate(cluster, `create model race-${name}-${racer}`, {entry, ifRevision}).catch(() => undefined)));
};

const resendCall = async ({cluster, name}: FaultContext): Promise<void> => {
	const key = `key-twice-${name}`;
	await Promise.all([0, 1, 0, 1].map(async (position, resend) => callThrough(cluster, {callId: `${key}-${resend}`, target: booking(key), position})));
};

/** Begins one fault and says how to take it back. */
export const beginFault = async (context: FaultContext): Promise<ActiveFault> => {
	const {cluster, fault: {kind, draw}} = context;
	return match(kind)
		.with('controlKill', async () => killed(context, pick(cluster.controls, draw)))
		.with('leaderKill', async () => killed(context, cluster.controls.find(control => control.node()?.isLeader()) ?? cluster.controls[0]!))
		.with('entryKill', async () => killed(context, pick(cluster.entries, draw)))
		.with('agentKill', async () => killed(context, pick(cluster.agents, draw)))
		.with('ledgerAgentKill', async () => killed(context, cluster.agents.at(-1)!))
		.with('agentLost', async () => lost(context, pick(cluster.agents, draw)))
		.with('ledgerAgentLost', async () => lost(context, cluster.agents.at(-1)!))
		.with('controlLost', async () => lost(context, pick(cluster.controls, draw)))
		.with('linkCut', 'linkOneWayCut', () => linkFault(context))
		.with('connectionSilent', () => silentConnection(context))
		.with('nodeFrozen', () => frozen(context))
		.with('engineStall', () => engineFault(context, {stallMs: 100}))
		.with('engineCut', () => engineFault(context, {cutAfterTokens: 2}))
		.with('engineCrossed', () => engineFault(context, {isCrossed: true}))
		.with('engineSilent', () => engineFault(context, {isSilent: true}))
		.with('serviceCutAfterRun', () => serviceFault(context, 'isCutAfterRun'))
		.with('serviceSilent', () => serviceFault(context, 'isSilent'))
		.with('chunkCorrupted', () => corruptChunks(context))
		.with('versionLoad', () => ordered(context, newVersion))
		.with('versionWithdraw', () => ordered(context, withdrawInMidLoad))
		.with('hostDrain', async () => drained(context))
		.with('hostStop', async () => stoppedByOrder(context))
		.with('agentStop', async () => stopped(context, pick(cluster.agents, draw)))
		.with('entryStop', async () => stopped(context, pick(cluster.entries, draw)))
		.with('commandResent', () => ordered(context, resendCommand))
		.with('operatorsRacing', () => ordered(context, raceOperators))
		.with('callResent', () => ordered(context, resendCall))
		.exhaustive();
};
