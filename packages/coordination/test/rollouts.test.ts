import fc from 'fast-check';
import t from 'tap';
import {hostReportSchema, type HostReport} from '@bitternpaddle/protocol';
import {
	applyChange, changeSchema, createCatalog, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';
import {planRollouts, type RolloutWatch} from '@bitternpaddle/coordination';

const parse = (change: unknown): CatalogChange => changeSchema.parse(change) as CatalogChange;

const apply = (catalog: Catalog, change: unknown): boolean => applyChange(catalog, parse(change), catalog.revision + 1) === null;

const order = {
	type: 'startRollout', modelId: 'm', fromFleetId: 'old', toFleetId: 'new', percent: 100, stepPercent: 25, holdMs: 1000, maxErrorPercent: 10,
};

const createCatalogWithRollout = (readyHosts = 4): Catalog => {
	const catalog = createCatalog();
	const changes = [
		{type: 'createModel', modelId: 'm'},
		{type: 'createVersion', versionId: 'm:v1', manifestId: `sha256:${'a'.repeat(64)}`},
		...['old', 'new'].map(fleetId => ({
			type: 'createFleet', fleetId, provider: fleetId, versionId: 'm:v1', replicas: 4, zoneIds: [],
		})),
		...['old', 'new'].flatMap(provider => Array.from({length: 4}, (_, index) => ({
			type: 'hostJoined', announcement: {
				hostId: `${provider}-${index}`, zoneId: 'z', regionId: 'r', serviceId: 's', provider, address: '127.0.0.1:1', capacity: 1, incarnation: 1, kind: 'engine',
			},
		}))),
		{type: 'load', versionId: 'm:v1', fleetId: 'old'},
		{type: 'load', versionId: 'm:v1', fleetId: 'new'},
		{
			type: 'replicasChanged', readiness: Array.from({length: readyHosts}, (_, index) => ({hostId: `new-${index}`, incarnation: 1, versionId: 'm:v1'})),
		},
		order,
	];
	for (const change of changes) {
		if (!apply(catalog, change)) {
			throw new Error(`${change.type} was refused`);
		}
	}

	return catalog;
};

const report = (answered: number, failed: number): HostReport => hostReportSchema.parse({
	hostId: 'e1', role: 'entry', address: '127.0.0.1:1', revision: 1, requestsInFlight: 0, announcement: null, readyVersionId: null, isLeaving: false, transfers: [],
	fleetOutcomes: [{fleetId: 'new', answered, failed}],
});

const planAt = (catalog: Catalog, watch: RolloutWatch, nowMs: number, entry = report(0, 0), isComplete = true): CatalogChange[] => planRollouts({
	catalog, watch, entryReports: [entry], isComplete, nowMs,
}) as CatalogChange[];

const shareOf = (catalog: Catalog, fleetId: string): number => catalog.models.m!.traffic.find(share => share.fleetId === fleetId)?.percent ?? 0;

// Ten percent of the requests fail on the new provider after the first step. The
// rollout halts at its current share, and does not continue until an operator resumes it.
t.test('halts a rollout when its target fleet fails', async t => {
	const catalog = createCatalogWithRollout();
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	for (const change of planAt(catalog, watch, 1)) {
		t.ok(apply(catalog, change));
	}

	t.equal(shareOf(catalog, 'new'), 25);
	planAt(catalog, watch, 100, report(1000, 5));
	t.same(planAt(catalog, watch, 500, report(1018, 7)), [], 'two failures are not significant');
	const [halt] = planAt(catalog, watch, 600, report(1018, 8));
	t.match(halt, {type: 'haltRollout', step: 1, detail: /3 of 21/v});
	t.ok(apply(catalog, halt));
	t.same(planAt(catalog, watch, 10_000, report(1018, 8)), []);
	t.equal(shareOf(catalog, 'new'), 25);
	t.ok(apply(catalog, {type: 'rollBack', modelId: 'm'}));
	t.same(catalog.models.m!.traffic, [{fleetId: 'old', percent: 100}]);
});

type ServiceCounts = {readonly total: number; readonly notWhole?: number; readonly slow?: number};

const serviceReport = ({total, notWhole = 0, slow = 0}: ServiceCounts): HostReport => hostReportSchema.parse({
	...report(total, 0), serviceOutcomes: [
		{
			serviceId: 's', total, notWhole, timed: total, slow,
		},
		{
			serviceId: 'other', total, notWhole: total, timed: total, slow: total,
		},
	],
});

const planAfterStep = (before: ServiceCounts, after: ServiceCounts): CatalogChange[] => {
	const catalog = createCatalogWithRollout();
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	apply(catalog, planAt(catalog, watch, 1)[0]);
	planAt(catalog, watch, 100, serviceReport(before));
	return planAt(catalog, watch, 500, serviceReport(after));
};

// In the first case the new provider answers every request completely, but late; in
// the second, callers are refused before a request is sent to any host. No request
// to the new fleet fails, so its error rate stays at zero, while the service's
// budget burns at the rate of a paging alert.
t.test('halts a rollout when the burn rate of its service rises', async t => {
	t.match(planAfterStep({total: 1000, slow: 10}, {total: 1100, slow: 90}), [{type: 'haltRollout', step: 1, detail: /first token.*burns.*16/v}]);
	t.match(planAfterStep({total: 1000}, {total: 1100, notWhole: 3}), [{type: 'haltRollout', step: 1, detail: /whole.*burns.*30/v}]);
	t.same(planAfterStep({total: 1000, slow: 10}, {total: 1100, slow: 80}), [], 'a rate of 14 is below the paging threshold');
	t.same(planAfterStep({total: 1000}, {total: 1010, notWhole: 2, slow: 2}), [], 'two requests are not significant');
	t.same(planAfterStep({total: 1000, notWhole: 30}, {total: 1100, notWhole: 33}), [], 'the rate was as high before the step');
	t.match(planAfterStep({total: 1000}, {total: 10, notWhole: 10}), [{type: 'haltRollout'}], 'a restarted entry counts from 0');
});

// An entry is unreachable when a step begins, and later reports failures from long
// before the step. These past failures must not halt the rollout.
t.test('does not halt a rollout for failures counted before an entry first reported', async t => {
	const catalog = createCatalogWithRollout();
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	apply(catalog, planAt(catalog, watch, 1)[0]);
	planRollouts({
		catalog, watch, entryReports: [], isComplete: false, nowMs: 100,
	});
	t.same(planAt(catalog, watch, 500, serviceReport({total: 1000, notWhole: 100})), []);
	t.match(planAt(catalog, watch, 600, serviceReport({total: 1020, notWhole: 120})), [{type: 'haltRollout', detail: /20 of 20/v}]);
});

// One of two entries is unreachable, and its callers may be the ones that fail.
// The rollout must wait rather than continue without that entry's counts.
t.test('does not advance a rollout until every entry reports and enough hosts are ready', async t => {
	const catalog = createCatalogWithRollout(1);
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	t.same(planAt(catalog, watch, 5000, report(0, 0), false), []);
	t.equal(planAt(catalog, watch, 5000).length, 1, 'one of four hosts suffices for a quarter');
	apply(catalog, planAt(catalog, watch, 5000)[0]);
	planAt(catalog, watch, 6000);
	t.same(planAt(catalog, watch, 9000), [], 'one host does not suffice for half');
});

const seed = 5005;

// Leaders change in the middle of steps; their proposals are applied late, twice,
// or after an operator's stop. If a step were executed twice, a fleet observed
// with a quarter of the traffic would receive half of it.
t.test(`executes each step once, whichever leader proposes it and whenever it is applied (seed ${seed})`, async t => {
	let completedCount = 0;
	const kinds = ['plan', 'pass', 'crash', 'apply', 'again', 'stop', 'resume'] as const;
	const weights = [12, 8, 1, 12, 2, 1, 6];
	const step = fc.oneof(...kinds.map((kind, position) => ({weight: weights[position]!, arbitrary: fc.constant(kind)})));
	fc.assert(fc.property(fc.array(step, {minLength: 30, maxLength: 300, size: 'max'}), steps => {
		const catalog = createCatalogWithRollout();
		let watch: RolloutWatch = new Map();
		let nowMs = 0;
		let movedAtMs = Number.NEGATIVE_INFINITY;
		const proposed: CatalogChange[] = [];
		for (const step of steps) {
			const before = structuredClone(catalog.rollouts.m!);
			switch (step) {
				case 'plan': {
					proposed.push(...planAt(catalog, watch, nowMs));

					break;
				}

				case 'pass': {
					nowMs += 700;

					break;
				}

				case 'crash': {
					watch = new Map();

					break;
				}

				case 'apply':
				case 'again': {
					const [change] = proposed;
					if (step === 'apply') {
						proposed.shift();
					}

					if (change !== undefined) {
						apply(catalog, change);
					}

					break;
				}

				case 'stop':
				case 'resume': {
					apply(catalog, {type: step === 'stop' ? 'stopRollout' : 'resumeRollout', modelId: 'm'});
				}
			}

			const current = catalog.rollouts.m!;
			if (shareOf(catalog, 'new') !== current.movedPercent || shareOf(catalog, 'old') + shareOf(catalog, 'new') !== 100) {
				throw new Error(`shares ${JSON.stringify(catalog.models.m!.traffic)} at ${current.movedPercent}%`);
			}

			if (current.movedPercent !== before.movedPercent) {
				if (before.state !== 'running' || current.movedPercent - before.movedPercent !== 25 || nowMs - movedAtMs < order.holdMs) {
					throw new Error(`${step} moved from ${before.movedPercent}% to ${current.movedPercent}% in state ${before.state}, ${nowMs - movedAtMs} ms after the previous step`);
				}

				movedAtMs = nowMs;
			}
		}

		completedCount += catalog.rollouts.m!.state === 'done' ? 1 : 0;
	}), {seed, numRuns: 1000});
	t.ok(completedCount > 100, `${completedCount} of 1000 rollouts completed`);
});
