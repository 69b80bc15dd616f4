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

const createMoving = (readyHosts = 4): Catalog => {
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

// Ten callers in a hundred fail on the new provider after the first step. The
// move stops where it is, by itself, and goes no further until an operator says.
t.test('a move stops by itself when its target fails', async t => {
	const catalog = createMoving();
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	for (const change of planAt(catalog, watch, 1)) {
		t.ok(apply(catalog, change));
	}

	t.equal(shareOf(catalog, 'new'), 25);
	planAt(catalog, watch, 100, report(1000, 5));
	t.same(planAt(catalog, watch, 500, report(1018, 7)), [], 'two failures say nothing');
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
	const catalog = createMoving();
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	apply(catalog, planAt(catalog, watch, 1)[0]);
	planAt(catalog, watch, 100, serviceReport(before));
	return planAt(catalog, watch, 500, serviceReport(after));
};

// The new provider answers every request whole, but late; and in the second case
// callers are refused before any host is asked. No request to the new fleet fails,
// so its error share says nothing, while the service's budget burns at a page's rate.
t.test('a move stops by itself when the burn of its service rises', async t => {
	t.match(planAfterStep({total: 1000, slow: 10}, {total: 1100, slow: 90}), [{type: 'haltRollout', step: 1, detail: /first token.*burns.*16/v}]);
	t.match(planAfterStep({total: 1000}, {total: 1100, notWhole: 3}), [{type: 'haltRollout', step: 1, detail: /whole.*burns.*30/v}]);
	t.same(planAfterStep({total: 1000, slow: 10}, {total: 1100, slow: 80}), [], 'a rate of 14 is below a page');
	t.same(planAfterStep({total: 1000}, {total: 1010, notWhole: 2, slow: 2}), [], 'two requests say nothing');
	t.same(planAfterStep({total: 1000, notWhole: 30}, {total: 1100, notWhole: 33}), [], 'it burned as fast before');
	t.match(planAfterStep({total: 1000}, {total: 10, notWhole: 10}), [{type: 'haltRollout'}], 'an entry that restarted counts from 0');
});

// An entry cannot be asked when a step begins, and is heard later with failures
// from long before the step. They are over, and must not stop the move.
t.test('a move is not stopped for what an entry counted before it was heard', async t => {
	const catalog = createMoving();
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	apply(catalog, planAt(catalog, watch, 1)[0]);
	planRollouts({
		catalog, watch, entryReports: [], isComplete: false, nowMs: 100,
	});
	t.same(planAt(catalog, watch, 500, serviceReport({total: 1000, notWhole: 100})), []);
	t.match(planAt(catalog, watch, 600, serviceReport({total: 1020, notWhole: 120})), [{type: 'haltRollout', detail: /20 of 20/v}]);
});

// One entry of two cannot be asked; its callers may be the ones that fail.
// The move waits rather than go on without knowing.
t.test('a move waits for the word of every entry, and for ready hosts', async t => {
	const catalog = createMoving(1);
	const watch: RolloutWatch = new Map();
	planAt(catalog, watch, 0);
	t.same(planAt(catalog, watch, 5000, report(0, 0), false), []);
	t.equal(planAt(catalog, watch, 5000).length, 1, 'one of four hosts carries a quarter');
	apply(catalog, planAt(catalog, watch, 5000)[0]);
	planAt(catalog, watch, 6000);
	t.same(planAt(catalog, watch, 9000), [], 'but not half');
});

const seed = 5005;

// Leaders come and go in the middle of steps; their proposals are applied late,
// twice, or after an operator's stop. What would be seen if a step could be done
// twice: half of the traffic on a fleet that had proved itself for a quarter.
t.test(`whoever proposes and whenever it is applied, each step is done once (seed ${seed})`, async t => {
	let done = 0;
	const kinds = ['plan', 'pass', 'crash', 'apply', 'again', 'stop', 'resume'] as const;
	const weights = [12, 8, 1, 12, 2, 1, 6];
	const step = fc.oneof(...kinds.map((kind, position) => ({weight: weights[position]!, arbitrary: fc.constant(kind)})));
	fc.assert(fc.property(fc.array(step, {minLength: 30, maxLength: 300, size: 'max'}), steps => {
		const catalog = createMoving();
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

			const now = catalog.rollouts.m!;
			if (shareOf(catalog, 'new') !== now.movedPercent || shareOf(catalog, 'old') + shareOf(catalog, 'new') !== 100) {
				throw new Error(`shares ${JSON.stringify(catalog.models.m!.traffic)} at ${now.movedPercent}%`);
			}

			if (now.movedPercent !== before.movedPercent) {
				if (before.state !== 'running' || now.movedPercent - before.movedPercent !== 25 || nowMs - movedAtMs < order.holdMs) {
					throw new Error(`${step} moved from ${before.movedPercent}% to ${now.movedPercent}% in state ${before.state}, ${nowMs - movedAtMs} ms after the last`);
				}

				movedAtMs = nowMs;
			}
		}

		done += catalog.rollouts.m!.state === 'done' ? 1 : 0;
	}), {seed, numRuns: 1000});
	t.ok(done > 100, `${done} of 1000 moves came to their end`);
});
