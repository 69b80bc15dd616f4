import fc from 'fast-check';
import t from 'tap';
import type {RevisedChange, WatchResult} from '@bitternpaddle/protocol';
import {
	applyChange, createCatalog, modelId, type Catalog,
} from '@bitternpaddle/state';
import {
	changesSince, createChangeHistory, createHostConfiguration, decideWatch, grantedLeaseMs, hasConfigurationLease, leaseTimes, recordChange, applyWatchResult,
	type HostConfiguration, type HostTime, type LeaderLease,
} from '@bitternpaddle/coordination';

const seed = 41_203;
const {hostLeaseMs, leaderLeaseMs} = leaseTimes;
/** Maximum time after the acceptance of a change for which a host may act on the replaced configuration. */
const maxStalenessMs = Math.max(hostLeaseMs, leaderLeaseMs);

type Member = {catalog: Catalog; grant: LeaderLease | null; isPartitioned: boolean};

type Call = {readonly start: number; readonly sentAt: HostTime; readonly arrivedAtMs: number; readonly revision: number; readonly member: number};

type Answer = {readonly call: Call; readonly result: WatchResult};

/** One leader, three control hosts with arbitrary lag, and one host that moves between them. */
class ScheduleSimulation {
	nowMs = 1;
	readonly log: RevisedChange[] = [];
	readonly leader = createCatalog();
	/** When each revision was accepted. */
	readonly acceptedAtMs: number[] = [0];
	readonly members: Member[] = Array.from({length: 3}, () => ({catalog: createCatalog(), grant: null, isPartitioned: false}));
	readonly calls: Call[] = [];
	readonly answers: Answer[] = [];
	host: HostConfiguration = createHostConfiguration();
	starts = 0;
	maxServedRevision = 0;

	accept(): void {
		const change: RevisedChange = {index: this.log.length + 1, change: {type: 'createModel', modelId: modelId(`m${this.log.length}`)}};
		this.log.push(change);
		this.acceptedAtMs.push(this.nowMs);
		applyChange(this.leader, change.change as never, change.index);
	}

	catchUp(member: Member, count: number): void {
		for (const {index, change} of member.isPartitioned ? [] : this.log.slice(member.catalog.revision, member.catalog.revision + count)) {
			applyChange(member.catalog, change as never, index);
		}
	}

	requestLeaderLease(member: Member): void {
		this.nowMs += 0.01;
		if (!member.isPartitioned) {
			member.grant = {requestedAtMs: this.nowMs, untilMs: this.nowMs + leaderLeaseMs, revision: this.leader.revision};
		}
	}

	call(member: number): void {
		const sentAt = {monotonicMs: this.nowMs, wallMs: this.nowMs};
		this.calls.push({
			start: this.starts, sentAt, arrivedAtMs: this.nowMs, revision: this.host.catalog.revision, member,
		});
	}

	/** Answers the oldest call that its control host may answer. */
	decide(): void {
		const position = this.calls.findIndex(({member, revision, arrivedAtMs}) => {
			const {grant, catalog} = this.members[member]!;
			return ['answer', 'hold'].includes(decideWatch({
				leaderLease: grant, ownRevision: catalog.revision, hostRevision: revision, arrivedAtMs, nowMs: this.nowMs,
			}));
		});
		const [call] = position === -1 ? [] : this.calls.splice(position, 1);
		if (call === undefined) {
			return;
		}

		const {catalog, grant} = this.members[call.member]!;
		const history = createChangeHistory(0);
		for (const change of this.log.slice(0, catalog.revision)) {
			recordChange(history, change);
		}

		this.answers.push({
			call, result: {
				type: 'changes', changes: changesSince(history, call.revision)!, revision: catalog.revision, digest: catalog.digest,
				leaseMs: grantedLeaseMs({lease: grant!, hostLeaseMs, arrivedAtMs: call.arrivedAtMs}),
			},
		});
	}

	deliver(answerIndex: number): void {
		const [answer] = this.answers.splice(answerIndex % Math.max(1, this.answers.length), 1);
		if (answer?.call.start !== this.starts) {
			return;
		}

		if (applyWatchResult(this.host, answer.result, answer.call.sentAt) === 'diverged') {
			throw new Error(`an answer with revision ${answer.result.type === 'changes' ? answer.result.revision : 0} made the host discard its copy`);
		}
	}

	restart(): void {
		this.starts++;
		this.host = createHostConfiguration();
	}

	checkServedRevision(): void {
		if (!hasConfigurationLease(this.host, {monotonicMs: this.nowMs, wallMs: this.nowMs})) {
			return;
		}

		const {revision} = this.host.catalog;
		if (revision < this.maxServedRevision) {
			throw new Error(`the host serves revision ${revision} after ${this.maxServedRevision}`);
		}

		this.maxServedRevision = revision;
		const replacedAtMs = this.acceptedAtMs[revision + 1];
		if (replacedAtMs !== undefined && this.nowMs - replacedAtMs > maxStalenessMs) {
			throw new Error(`the host serves revision ${revision}, which was replaced ${this.nowMs - replacedAtMs} ms ago`);
		}
	}
}

const member = fc.nat(2);

const step: fc.Arbitrary<readonly [string, (simulation: ScheduleSimulation) => void]> = fc.oneof(
	{
		weight: 3, arbitrary: fc.constant(['accept', (simulation: ScheduleSimulation) => {
			simulation.accept();
		}] as const),
	},
	{
		weight: 3, arbitrary: fc.tuple(member, fc.integer({min: 1, max: 3})).map(([memberIndex, count]) => [`catchUp ${memberIndex} ${count}`, (simulation: ScheduleSimulation) => {
			simulation.catchUp(simulation.members[memberIndex]!, count);
		}] as const),
	},
	{
		weight: 3, arbitrary: member.map(memberIndex => [`request leader lease ${memberIndex}`, (simulation: ScheduleSimulation) => {
			simulation.requestLeaderLease(simulation.members[memberIndex]!);
		}] as const),
	},
	{
		weight: 1, arbitrary: fc.tuple(member, fc.boolean()).map(([memberIndex, isPartitioned]) => [`partition ${memberIndex} ${isPartitioned}`, (simulation: ScheduleSimulation) => {
			simulation.members[memberIndex]!.isPartitioned = isPartitioned;
		}] as const),
	},
	{
		weight: 4, arbitrary: member.map(memberIndex => [`call ${memberIndex}`, (simulation: ScheduleSimulation) => {
			simulation.call(memberIndex);
		}] as const),
	},
	{
		weight: 5, arbitrary: fc.constant(['decide', (simulation: ScheduleSimulation) => {
			simulation.decide();
		}] as const),
	},
	{
		weight: 5, arbitrary: fc.nat(5).map(answerIndex => [`deliver ${answerIndex}`, (simulation: ScheduleSimulation) => {
			simulation.deliver(answerIndex);
		}] as const),
	},
	{
		weight: 2, arbitrary: member.map(memberIndex => [`round without faults ${memberIndex}`, (simulation: ScheduleSimulation) => {
			simulation.call(memberIndex);
			simulation.requestLeaderLease(simulation.members[memberIndex]!);
			simulation.catchUp(simulation.members[memberIndex]!, simulation.log.length);
			simulation.decide();
			simulation.deliver(simulation.answers.length - 1);
		}] as const),
	},
	{
		weight: 1, arbitrary: member.map(memberIndex => [`ten seconds at ${memberIndex} only, which may be partitioned`, (simulation: ScheduleSimulation) => {
			for (let second = 0; second < 10; second++) {
				simulation.call(memberIndex);
				simulation.requestLeaderLease(simulation.members[memberIndex]!);
				simulation.decide();
				simulation.deliver(simulation.answers.length - 1);
				simulation.checkServedRevision();
				simulation.nowMs += 1000;
			}
		}] as const),
	},
	{
		weight: 1, arbitrary: fc.constant(['restart', (simulation: ScheduleSimulation) => {
			simulation.restart();
		}] as const),
	},
	{
		weight: 2, arbitrary: fc.integer({min: 1, max: 2500}).map(ms => [`pass ${ms}`, (simulation: ScheduleSimulation) => {
			simulation.nowMs += ms;
		}] as const),
	},
);

// The host moves between control hosts, each with its own lag and some of them
// partitioned; answers arrive late, out of order or never; the host restarts
// without its copy. If a safeguard failed, a drained host would accept requests
// again, or a withdrawn version would answer. At every step, if the host has a
// lease, its revision is at least the highest it ever served, also before
// restarts, and was replaced no longer ago than the longer of both leases lasts.
t.test(`a host never serves an older configuration than before under any schedule (seed ${seed})`, async t => {
	let servedCount = 0;
	fc.assert(fc.property(fc.array(step, {minLength: 20, maxLength: 120}), steps => {
		const simulation = new ScheduleSimulation();
		for (const [, run] of steps) {
			run(simulation);
			simulation.checkServedRevision();
		}

		servedCount += simulation.maxServedRevision > 0 ? 1 : 0;
	}), {seed, numRuns: 3000});
	t.ok(servedCount > 1000, `the host served in ${servedCount} of 3000 schedules`);
});

// A process is stopped, or its machine suspended, and resumes with a request in
// its socket. No timer has run since, and the monotonic clock may have stopped
// during the suspension; an expired lease on either clock must suffice to refuse.
t.test('a host that resumes after its lease expired has no lease, on either clock', async t => {
	const host = createHostConfiguration();
	const granted: WatchResult = {
		type: 'changes', changes: [], revision: 0, digest: '', leaseMs: hostLeaseMs,
	};
	t.equal(applyWatchResult(host, granted, {monotonicMs: 100, wallMs: 50_000}), 'current');
	t.ok(hasConfigurationLease(host, {monotonicMs: 99 + hostLeaseMs, wallMs: 49_999 + hostLeaseMs}));
	t.notOk(hasConfigurationLease(host, {monotonicMs: 100 + hostLeaseMs, wallMs: 50_001}));
	t.notOk(hasConfigurationLease(host, {monotonicMs: 101, wallMs: 50_000 + hostLeaseMs}));
});

// An answer was delayed in a stalled connection and arrives long after the
// host's lease has expired. The lease must not count from its arrival.
t.test('a delayed answer does not extend the lease', async t => {
	const host = createHostConfiguration();
	const delayedResult: WatchResult = {
		type: 'changes', changes: [], revision: 0, digest: '', leaseMs: hostLeaseMs,
	};
	applyWatchResult(host, delayedResult, {monotonicMs: 1000, wallMs: 1000});
	t.notOk(hasConfigurationLease(host, {monotonicMs: 9000, wallMs: 9000}), 'the request was sent at 1000 and the answer arrives at 9000');
});
