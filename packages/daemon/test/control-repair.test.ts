import {rm} from 'node:fs/promises';
import path from 'node:path';
import t, {type Test} from 'tap';
import {hostOfMember} from '@bitternpaddle/coordination';
import type {ProposeResult} from '@bitternpaddle/protocol';
import {commandId, modelId} from '@bitternpaddle/state';
import {callRpc} from '@bitternpaddle/transport';
import {testFolder} from '@bitternpaddle/test-support';
import {
	createControlNode, waitUntil, type ControlNode, type ControlNodeOptions,
} from '@bitternpaddle/daemon';

type Group = {
	readonly nodes: Map<string, ControlNode>;
	start(hostId: string): Promise<void>;
	stop(hostId: string): Promise<void>;
	leader(): ControlNode | undefined;
	voters(): string[];
	folderOf(hostId: string): string;
};

const createGroup = async (t: Test, size: number, options: Partial<ControlNodeOptions> = {}): Promise<Group> => {
	const root = testFolder(t);
	const members = new Map<string, string>();
	const nodes = new Map<string, ControlNode>();
	const folderOf = (hostId: string): string => path.join(root, hostId);
	const leader = (): ControlNode | undefined => [...nodes.values()].find(node => node.isLeader());
	const group: Group = {
		nodes, folderOf, leader,
		voters: () => (leader()?.members().voters ?? []).map(id => hostOfMember(id)).toSorted(),
		async start(hostId) {
			nodes.set(hostId, await createControlNode({
				selfId: hostId, listen: members.get(hostId), folder: folderOf(hostId), members, voters: ['c1', 'c2', 'c3'], replaceAfterMs: 1500, ...options,
			}));
		},
		async stop(hostId) {
			await nodes.get(hostId)!.close();
			nodes.delete(hostId);
		},
	};
	t.teardown(async () => Promise.all([...nodes.values()].map(async node => node.close())));
	await Promise.all(Array.from({length: size}, async (_, index) => group.start(`c${index + 1}`)));
	await waitUntil('there is a leader', async () => leader() !== undefined);
	return group;
};

const propose = async (address: string, name: string): Promise<ProposeResult> => callRpc<ProposeResult>({
	address, method: 'control.propose', timeoutMs: 9000,
	params: {command: {commandId: commandId(name), ifRevision: null, change: {type: 'createModel', modelId: modelId(name)}}},
});

const accept = async (address: string, name: string): Promise<ProposeResult> => {
	let result: ProposeResult | undefined;
	await waitUntil(`${name} is accepted`, async () => {
		result = await propose(address, name).catch(() => undefined);
		return result?.type === 'accepted';
	});
	return result!;
};

const follower = (group: Group): string => group.voters().find(hostId => hostId !== group.leader()!.selfId)!;

// Five control hosts, three of them voters. After a permanently lost voter has
// been replaced by a standby host, the leader is lost too. A former standby must
// still accept the next change and answer a resent command with its first result.
t.test('tolerates the loss of the leader right after a voter was replaced', {timeout: 60_000}, async t => {
	const group = await createGroup(t, 5);
	await waitUntil('the two standby hosts are learners', async () => group.leader()?.members().learners.length === 2);
	const first = await accept(group.nodes.get('c5')!.address, 'first');
	const lost = follower(group);
	await group.stop(lost);
	await waitUntil('the lost voter is replaced', async () => group.voters().length === 3 && !group.voters().includes(lost));
	await group.stop(group.leader()!.selfId);
	const standbyAddress = [...group.nodes.values()].at(-1)!.address;
	await accept(standbyAddress, 'second');
	t.same(await accept(standbyAddress, 'first'), first, 'the resent command gets its first result');
	await group.start(lost);
	await waitUntil('the restarted host is a learner or a voter', async () => {
		const {voters = [], learners = []} = group.leader()?.members() ?? {};
		return [...voters, ...learners].some(id => hostOfMember(id) === lost);
	});
});

// A voter loses its disk and restarts with an empty data folder under the same
// host id, while there is no standby. It must rejoin as a new member that
// replaces its former identity.
t.test('a voter that lost its disk rejoins as a new member', {timeout: 60_000}, async t => {
	const group = await createGroup(t, 3);
	const lost = follower(group);
	const before = group.nodes.get(lost)!.members().voters.find(id => hostOfMember(id) === lost)!;
	await accept(group.leader()!.address, 'kept');
	await group.stop(lost);
	await rm(group.folderOf(lost), {recursive: true});
	await group.start(lost);
	await waitUntil('it votes as a new member', async () => group.voters().join(',') === 'c1,c2,c3' && !group.leader()!.members().voters.includes(before));
	await accept(group.nodes.get(lost)!.address, 'next');
	t.equal((await propose(group.nodes.get(lost)!.address, 'kept')).type, 'accepted');
});

// All control hosts restart after a snapshot. A resent command that was accepted
// before the restart must get its first result from any host and change nothing.
t.test('a resent command gets its first result after all control hosts restarted', {timeout: 60_000}, async t => {
	const group = await createGroup(t, 3, {snapshotEntries: 10});
	const first = await accept(group.leader()!.address, 'once');
	for (let index = 0; index < 25; index++) {
		await accept(group.leader()!.address, `other-${index}`);
	}

	for (const hostId of ['c1', 'c2', 'c3']) {
		await group.stop(hostId);
	}

	await Promise.all(['c1', 'c2', 'c3'].map(async hostId => group.start(hostId)));
	for (const hostId of ['c1', 'c2', 'c3']) {
		t.same(await accept(group.nodes.get(hostId)!.address, 'once'), first, hostId);
	}
});
