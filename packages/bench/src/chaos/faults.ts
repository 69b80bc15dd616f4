import {
	openModes, operate, queryRows, type FailureCluster, type Link, type NodeHandle,
} from '@bitternpaddle/daemon';
import type {EngineFaults} from '@bitternpaddle/test-support';
import {match} from 'ts-pattern';
import type {PlannedFault} from './schedule.js';
import {booking, callThrough} from './traffic.js';

/** A fault that has been started. */
export type ActiveFault = {
	/** Resolves when the work that the fault itself started, such as concurrent operator commands, has finished. */
	readonly done: Promise<unknown>;
	/** Reverts the fault. */
	undo(): Promise<void>;
};

export type FaultContext = {
	readonly cluster: FailureCluster;
	readonly fault: PlannedFault;
	/** Unique among all faults of the cluster. */
	readonly name: string;
	/** Records which nodes the fault affects, before anything fails. */
	recordAffected(nodeIds: readonly string[]): void;
};

const pick = <Item>(items: readonly Item[], draw: number): Item => items[draw % items.length]!;

const noUndo = async (): Promise<void> => undefined;

const killNode = async ({recordAffected}: FaultContext, handle: NodeHandle<unknown>): Promise<ActiveFault> => {
	recordAffected([handle.nodeId]);
	await handle.kill();
	return {done: Promise.resolve(), undo: async () => handle.start()};
};

const loseNode = async ({recordAffected}: FaultContext, handle: NodeHandle<unknown>): Promise<ActiveFault> => {
	recordAffected([handle.nodeId]);
	await handle.lose();
	return {done: Promise.resolve(), undo: async () => handle.start()};
};

/** Stops a node gracefully, and starts it again once it has exited. */
const stopNode = async ({recordAffected, cluster: {history}}: FaultContext, handle: NodeHandle<unknown>): Promise<ActiveFault> => {
	recordAffected([]);
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

const nodeIdsOf = ({controls, entries, agents}: FailureCluster): string[] => [...controls, ...entries, ...agents].map(handle => handle.nodeId);

const applyToLinks = (links: readonly Link[], apply: (link: Link) => void): ActiveFault => {
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

/** Partitions a node from one other node or from all, in both directions or in one. */
const linkFault = ({cluster, recordAffected, fault: {draw, kind}}: FaultContext): ActiveFault => {
	const nodeId = pick(nodeIdsOf(cluster), draw);
	const links = cluster.links.adjacentTo([nodeId]);
	const chosen = draw % 2 === 0 ? links : [pick(links, draw)];
	const modes = kind === 'linkOneWayCut' && draw % 3 === 0 ? {forward: 'dropped', backward: 'open'} as const : {forward: 'open', backward: 'dropped'} as const;
	recordAffected([nodeId, ...chosen.flatMap(({from, to}) => [from, to])]);
	return applyToLinks(chosen, ({relay}) => {
		relay.setModes(kind === 'linkCut' ? {forward: 'dropped', backward: 'dropped'} : modes);
	});
};

const silenceConnections = ({cluster, recordAffected, fault: {draw}}: FaultContext): ActiveFault => {
	const nodeId = pick(nodeIdsOf(cluster), draw);
	recordAffected([nodeId]);
	return applyToLinks(cluster.links.adjacentTo([nodeId]), ({relay}) => {
		relay.silenceOpenConnections();
	});
};

/** Simulates a suspended node: a process cannot suspend a part of itself, so everything sent to and from the node is delayed instead. */
const suspendNode = ({cluster, recordAffected, fault: {draw}}: FaultContext): ActiveFault => {
	const nodeId = pick(nodeIdsOf(cluster), draw);
	recordAffected([nodeId]);
	return applyToLinks(cluster.links.adjacentTo([nodeId]), ({relay}) => {
		relay.setModes({forward: 'held', backward: 'held'});
	});
};

const engineFault = ({cluster, recordAffected, fault: {draw}}: FaultContext, faults: EngineFaults): ActiveFault => {
	const [hostId, engine] = pick([...cluster.engines], draw);
	recordAffected([hostId]);
	Object.assign(engine.faults, faults);
	return {
		done: Promise.resolve(), async undo() {
			for (const name of Object.keys(faults) as Array<keyof EngineFaults>) {
				engine.faults[name] = undefined;
			}
		},
	};
};

const serviceFault = ({recordAffected, cluster: {ledger, agents}}: FaultContext, name: 'isCutAfterRun' | 'isSilent'): ActiveFault => {
	recordAffected([agents.at(-1)!.nodeId]);
	ledger.faults[name] = true;
	return {
		done: Promise.resolve(), async undo() {
			ledger.faults[name] = false;
		},
	};
};

/** Runs operator commands or concurrent calls, which are not expected to affect any node. */
const runOperation = (context: FaultContext, work: (context: FaultContext) => Promise<unknown>): ActiveFault => {
	context.recordAffected([]);
	return {done: work(context), undo: noUndo};
};

const publishVersion = async ({cluster, fault: {draw}, name}: FaultContext): Promise<string> => {
	const {manifestId, digest} = pick(cluster.manifests, draw);
	const versionId = `pitch-desk:${name}`;
	cluster.history.record({type: 'versionPublished', versionId, digest});
	await operate(cluster, `create version ${versionId} from manifest ${manifestId}`);
	await operate(cluster, `load ${versionId} on fleet fair`);
	return versionId;
};

const corruptChunks = (context: FaultContext): ActiveFault => {
	const {faults} = context.cluster.origin;
	context.recordAffected([]);
	faults.isCorrupting = true;
	return {
		done: publishVersion(context), async undo() {
			faults.isCorrupting = false;
		},
	};
};

const withdrawDuringLoad = async (context: FaultContext): Promise<void> => {
	const versionId = await publishVersion(context);
	await operate(context.cluster, `withdraw version ${versionId}`);
};

const drainAgentHost = async ({cluster, recordAffected, fault: {draw}}: FaultContext): Promise<ActiveFault> => {
	recordAffected([]);
	const {nodeId} = pick(cluster.agents.slice(0, -1), draw);
	const outcome = await operate(cluster, `drain host ${nodeId}`);
	if (outcome.type === 'accepted') {
		cluster.history.record({type: 'leaveStarted', nodeId, cause: 'drain'});
	}

	return {
		done: Promise.resolve(), async undo() {
			// The host may receive work again from the moment the command is sent.
			cluster.history.record({type: 'leaveEnded', nodeId});
			await operate(cluster, `undrain host ${nodeId}`);
		},
	};
};

/** Stops a host by an operator command: its agent exits by itself, and the host is started again later. */
const stopAgentHost = async ({cluster, recordAffected, fault: {draw}}: FaultContext): Promise<ActiveFault> => {
	recordAffected([]);
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

const resendBooking = async ({cluster, name}: FaultContext): Promise<void> => {
	const key = `key-twice-${name}`;
	await Promise.all([0, 1, 0, 1].map(async (position, resend) => callThrough(cluster, {callId: `${key}-${resend}`, target: booking(key), position})));
};

/** Starts one fault; the result reverts it. */
export const startFault = async (context: FaultContext): Promise<ActiveFault> => {
	const {cluster, fault: {kind, draw}} = context;
	return match(kind)
		.with('controlKill', async () => killNode(context, pick(cluster.controls, draw)))
		.with('leaderKill', async () => killNode(context, cluster.controls.find(control => control.node()?.isLeader()) ?? cluster.controls[0]!))
		.with('entryKill', async () => killNode(context, pick(cluster.entries, draw)))
		.with('agentKill', async () => killNode(context, pick(cluster.agents, draw)))
		.with('ledgerAgentKill', async () => killNode(context, cluster.agents.at(-1)!))
		.with('agentLost', async () => loseNode(context, pick(cluster.agents, draw)))
		.with('ledgerAgentLost', async () => loseNode(context, cluster.agents.at(-1)!))
		.with('controlLost', async () => loseNode(context, pick(cluster.controls, draw)))
		.with('linkCut', 'linkOneWayCut', () => linkFault(context))
		.with('connectionSilent', () => silenceConnections(context))
		.with('nodeFrozen', () => suspendNode(context))
		.with('engineStall', () => engineFault(context, {stallMs: 100}))
		.with('engineCut', () => engineFault(context, {cutAfterTokens: 2}))
		.with('engineCrossed', () => engineFault(context, {sendsPreviousAnswer: true}))
		.with('engineSilent', () => engineFault(context, {isSilent: true}))
		.with('serviceCutAfterRun', () => serviceFault(context, 'isCutAfterRun'))
		.with('serviceSilent', () => serviceFault(context, 'isSilent'))
		.with('chunkCorrupted', () => corruptChunks(context))
		.with('versionLoad', () => runOperation(context, publishVersion))
		.with('versionWithdraw', () => runOperation(context, withdrawDuringLoad))
		.with('hostDrain', async () => drainAgentHost(context))
		.with('hostStop', async () => stopAgentHost(context))
		.with('agentStop', async () => stopNode(context, pick(cluster.agents, draw)))
		.with('entryStop', async () => stopNode(context, pick(cluster.entries, draw)))
		.with('commandResent', () => runOperation(context, resendCommand))
		.with('operatorsRacing', () => runOperation(context, raceOperators))
		.with('callResent', () => runOperation(context, resendBooking))
		.exhaustive();
};
