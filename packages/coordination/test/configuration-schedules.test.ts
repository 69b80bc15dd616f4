import fc from 'fast-check';
import t from 'tap';
import type {RevisedChange, WatchResult} from '@bitternpaddle/protocol';
import {
	applyChange, createCatalog, modelId, type Catalog,
} from '@bitternpaddle/state';
import {
	changesSince, createChangeHistory, createHostConfiguration, decideWatch, grantedLeaseMs, hasConfigurationLease, leaseTimes, recordChange, takeWatchResult,
	type HostConfiguration, type HostTime, type LeaderWord,
} from '@bitternpaddle/coordination';

const seed = 41_203;
const {hostLeaseMs, wordMs} = leaseTimes;
/** From a change's acceptance until no host acts on what it replaced. */
const replacedBoundMs = Math.max(hostLeaseMs, wordMs);

type Member = {catalog: Catalog; word: LeaderWord | null; isCut: boolean};

type Call = {readonly start: number; readonly sentAt: HostTime; readonly arrivedAtMs: number; readonly revision: number; readonly member: number};

type Answer = {readonly call: Call; readonly result: WatchResult};

/** One leader, three control hosts that lag as they like, and one host that wanders between them. */
class World {
	nowMs = 1;
	readonly log: RevisedChange[] = [];
	readonly leader = createCatalog();
	/** When each revision was accepted. */
	readonly acceptedAtMs: number[] = [0];
	readonly members: Member[] = Array.from({length: 3}, () => ({catalog: createCatalog(), word: null, isCut: false}));
	readonly calls: Call[] = [];
	readonly answers: Answer[] = [];
	host: HostConfiguration = createHostConfiguration();
	starts = 0;
	servedRevision = 0;

	accept(): void {
		const change: RevisedChange = {index: this.log.length + 1, change: {type: 'createModel', modelId: modelId(`m${this.log.length}`)}};
		this.log.push(change);
		this.acceptedAtMs.push(this.nowMs);
		applyChange(this.leader, change.change as never, change.index);
	}

	catchUp(member: Member, count: number): void {
		for (const {index, change} of member.isCut ? [] : this.log.slice(member.catalog.revision, member.catalog.revision + count)) {
			applyChange(member.catalog, change as never, index);
		}
	}

	ask(member: Member): void {
		this.nowMs += 0.01;
		if (!member.isCut) {
			member.word = {askedAtMs: this.nowMs, untilMs: this.nowMs + wordMs, revision: this.leader.revision};
		}
	}

	call(member: number): void {
		const sentAt = {monotonicMs: this.nowMs, wallMs: this.nowMs};
		this.calls.push({
			start: this.starts, sentAt, arrivedAtMs: this.nowMs, revision: this.host.catalog.revision, member,
		});
	}

	/** The control host looks at the oldest call that it may answer. */
	decide(): void {
		const position = this.calls.findIndex(({member, revision, arrivedAtMs}) => {
			const {word, catalog} = this.members[member]!;
			return ['answer', 'hold'].includes(decideWatch({
				word, ownRevision: catalog.revision, hostRevision: revision, arrivedAtMs, nowMs: this.nowMs,
			}));
		});
		const [call] = position === -1 ? [] : this.calls.splice(position, 1);
		if (call === undefined) {
			return;
		}

		const {catalog, word} = this.members[call.member]!;
		const history = createChangeHistory(0);
		for (const change of this.log.slice(0, catalog.revision)) {
			recordChange(history, change);
		}

		this.answers.push({
			call, result: {
				type: 'changes', changes: changesSince(history, call.revision)!, revision: catalog.revision, digest: catalog.digest,
				leaseMs: grantedLeaseMs({word: word!, hostLeaseMs, arrivedAtMs: call.arrivedAtMs}),
			},
		});
	}

	deliver(pick: number): void {
		const [answer] = this.answers.splice(pick % Math.max(1, this.answers.length), 1);
		if (answer?.call.start !== this.starts) {
			return;
		}

		if (takeWatchResult(this.host, answer.result, answer.call.sentAt) === 'diverged') {
			throw new Error(`an answer with revision ${answer.result.type === 'changes' ? answer.result.revision : 0} made the host throw its copy away`);
		}
	}

	restart(): void {
		this.starts++;
		this.host = createHostConfiguration();
	}

	serve(): void {
		if (!hasConfigurationLease(this.host, {monotonicMs: this.nowMs, wallMs: this.nowMs})) {
			return;
		}

		const {revision} = this.host.catalog;
		if (revision < this.servedRevision) {
			throw new Error(`the host serves revision ${revision} after ${this.servedRevision}`);
		}

		this.servedRevision = revision;
		const replacedAtMs = this.acceptedAtMs[revision + 1];
		if (replacedAtMs !== undefined && this.nowMs - replacedAtMs > replacedBoundMs) {
			throw new Error(`the host serves revision ${revision}, which was replaced ${this.nowMs - replacedAtMs} ms ago`);
		}
	}
}

const member = fc.nat(2);

const step: fc.Arbitrary<readonly [string, (world: World) => void]> = fc.oneof(
	{
		weight: 3, arbitrary: fc.constant(['accept', (world: World) => {
			world.accept();
		}] as const),
	},
	{
		weight: 3, arbitrary: fc.tuple(member, fc.integer({min: 1, max: 3})).map(([at, count]) => [`catchUp ${at} ${count}`, (world: World) => {
			world.catchUp(world.members[at]!, count);
		}] as const),
	},
	{
		weight: 3, arbitrary: member.map(at => [`ask ${at}`, (world: World) => {
			world.ask(world.members[at]!);
		}] as const),
	},
	{
		weight: 1, arbitrary: fc.tuple(member, fc.boolean()).map(([at, isCut]) => [`cut ${at} ${isCut}`, (world: World) => {
			world.members[at]!.isCut = isCut;
		}] as const),
	},
	{
		weight: 4, arbitrary: member.map(at => [`call ${at}`, (world: World) => {
			world.call(at);
		}] as const),
	},
	{
		weight: 5, arbitrary: fc.constant(['decide', (world: World) => {
			world.decide();
		}] as const),
	},
	{
		weight: 5, arbitrary: fc.nat(5).map(pick => [`deliver ${pick}`, (world: World) => {
			world.deliver(pick);
		}] as const),
	},
	{
		weight: 2, arbitrary: member.map(at => [`calm round ${at}`, (world: World) => {
			world.call(at);
			world.ask(world.members[at]!);
			world.catchUp(world.members[at]!, world.log.length);
			world.decide();
			world.deliver(world.answers.length - 1);
		}] as const),
	},
	{
		weight: 1, arbitrary: member.map(at => [`ten seconds at ${at} only, which may be cut off`, (world: World) => {
			for (let second = 0; second < 10; second++) {
				world.call(at);
				world.ask(world.members[at]!);
				world.decide();
				world.deliver(world.answers.length - 1);
				world.serve();
				world.nowMs += 1000;
			}
		}] as const),
	},
	{
		weight: 1, arbitrary: fc.constant(['restart', (world: World) => {
			world.restart();
		}] as const),
	},
	{
		weight: 2, arbitrary: fc.integer({min: 1, max: 2500}).map(ms => [`pass ${ms}`, (world: World) => {
			world.nowMs += ms;
		}] as const),
	},
);

// The host turns from one control host to another, each with its own lag and some
// of them cut off; answers come late, out of order or never; the host restarts
// with no memory. What a caller would see if a safeguard failed: a drained host
// takes work again, or a withdrawn version answers. At every step, if the host
// has a lease, its revision is at least what it ever served, restarts included,
// and it was not replaced longer ago than the longer of both leases lasts.
t.test(`under any schedule a host never serves an older configuration than before (seed ${seed})`, async t => {
	let served = 0;
	fc.assert(fc.property(fc.array(step, {minLength: 20, maxLength: 120}), steps => {
		const world = new World();
		for (const [, run] of steps) {
			run(world);
			world.serve();
		}

		served += world.servedRevision > 0 ? 1 : 0;
	}), {seed, numRuns: 3000});
	t.ok(served > 1000, `the host served in ${served} of 3000 schedules`);
});

// A host is frozen (or its machine suspended) and wakes with a request in its
// socket. No timer has run since, and on a suspended machine the monotonic clock
// stood still; either clock alone must be enough to refuse.
t.test('a host that wakes after its lease has none, on either clock', async t => {
	const host = createHostConfiguration();
	const granted: WatchResult = {
		type: 'changes', changes: [], revision: 0, digest: '', leaseMs: hostLeaseMs,
	};
	t.equal(takeWatchResult(host, granted, {monotonicMs: 100, wallMs: 50_000}), 'current');
	t.ok(hasConfigurationLease(host, {monotonicMs: 99 + hostLeaseMs, wallMs: 49_999 + hostLeaseMs}));
	t.notOk(hasConfigurationLease(host, {monotonicMs: 100 + hostLeaseMs, wallMs: 50_001}));
	t.notOk(hasConfigurationLease(host, {monotonicMs: 101, wallMs: 50_000 + hostLeaseMs}));
});

// An answer lay in a connection that had gone silent, and comes after the host
// was long written off. It must grant no time from its arrival on.
t.test('an answer that lay in a silent connection grants nothing', async t => {
	const host = createHostConfiguration();
	const late: WatchResult = {
		type: 'changes', changes: [], revision: 0, digest: '', leaseMs: hostLeaseMs,
	};
	takeWatchResult(host, late, {monotonicMs: 1000, wallMs: 1000});
	t.notOk(hasConfigurationLease(host, {monotonicMs: 9000, wallMs: 9000}), 'it was asked for at 1000 and arrives at 9000');
});
