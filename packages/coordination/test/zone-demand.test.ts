import type {EngineProfile} from '@bitternpaddle/state';
import t from 'tap';
import {
	createArrivalRate, createEndpointHealth, createEndpointLoad, createObjectiveMix, createRandom, createSpareCapacity, createZoneDemand, nextStep, recordArrival,
	recordZoneDemand, zoneDemandShare, type Candidate,
} from '@bitternpaddle/coordination';

const nowMs = 10_000;
const zoneIds = ['z1', 'z2', 'z3'];

const engine = (index: number): Candidate => ({
	announcement: {
		id: `e${index}`, serviceName: 's', address: `10.0.0.${index}:80`, zoneId: zoneIds[index % 3]!, slots: 12, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence: 1,
	},
	load: {
		...createEndpointLoad(), wholeVersion: 1, reportedAtMs: nowMs - 300, report: {
			running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: {type: 'unknown'}, readyInMs: null,
		},
	},
	health: createEndpointHealth(),
});

const engines = Array.from({length: 27}, (_, index) => engine(index));
const inZone = (zoneId: string): Candidate[] => engines.filter(({announcement}) => announcement.zoneId === zoneId);

t.test('the share of a zone follows the requests that may be sent there', async t => {
	const demand = createZoneDemand();
	t.equal(zoneDemandShare(demand, inZone('z1'), nowMs), 1, 'nothing recorded');
	recordZoneDemand(demand, engines, nowMs);
	t.ok(Math.abs(zoneDemandShare(demand, inZone('z1'), nowMs) - (1 / 3)) < 1e-9);
	t.ok(Math.abs(zoneDemandShare(demand, engines, nowMs) - 1) < 1e-9);
	recordZoneDemand(demand, inZone('z1'), nowMs);
	t.ok(Math.abs(zoneDemandShare(demand, inZone('z1'), nowMs) - (2 / 3)) < 1e-9);
	recordZoneDemand(demand, inZone('z2'), nowMs + 60_000);
	t.ok(zoneDemandShare(demand, inZone('z1'), nowMs + 60_000) < 1e-6, 'earlier requests no longer count');
});

// Guards against refusing requests with a list while the engines that they may be sent to are idle: those of
// other entries would all be expected at these engines, though they are sent to the engines of all zones.
t.test('a request limited to one of three zones is admitted as one without a limit', async t => {
	const profile: EngineProfile = {
		slots: 12, stepsPerPass: 6, stepMs: 7.4, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 32_000, usualPromptTokens: 973, usualAnswerTokens: 106,
		kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
	};
	const sendRate = createArrivalRate();
	const zoneDemand = createZoneDemand();
	for (let atMs = 0; atMs < nowMs; atMs += 45) {
		recordArrival(sendRate, atMs);
		recordZoneDemand(zoneDemand, engines, atMs);
	}

	const expectedMs = (candidates: readonly Candidate[], demandShare?: number): number => {
		const step = nextStep({
			sendRate, objectives: createObjectiveMix(), spareCapacity: createSpareCapacity(), heldCount: 0, queuedCount: 0, capacityAheadCount: 0,
		}, {
			candidates, permitStateOf: () => ({type: 'available'}), profile, zoneId: 'z1', entryCount: 19, dues: [], shutdownInMs: Number.POSITIVE_INFINITY, room: null, random: createRandom(1), nowMs,
			...(demandShare !== undefined && {demandShare}),
		}, {
			isLastTry: false, priority: 0, teamName: null, routeName: 'r',
			deadlineAtMs: nowMs + 6000, retryClass: 'streaming', objectiveMs: 400, timeoutMs: 6000, promptTokens: 973, maxAnswerTokens: 100, receivedAtMs: nowMs,
			sinceMs: nowMs, isBegun: false, sentCount: 0, triedIds: new Set(), waitsFor: null,
		});
		return step.type === 'send' ? step.placement.expectedMs : Number.POSITIVE_INFINITY;
	};

	t.equal(expectedMs(inZone('z1')), Number.POSITIVE_INFINITY, 'refused if all requests of the others are expected there');
	const share = zoneDemandShare(zoneDemand, inZone('z1'), nowMs);
	t.ok(expectedMs(inZone('z1'), share) < 400, `${expectedMs(inZone('z1'), share)} ms`);
	t.comment(`without a limit: ${expectedMs(engines)} ms`);
});
