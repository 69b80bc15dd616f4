import t from 'tap';
import {
	admitRequest, createRandom, createStartShare, maxStartShare, recordStartDelay, type AdmitOptions,
} from '@bitternpaddle/coordination';

const objectiveMs = 400;

const learn = (lateEvery: number, count: number): number => {
	const start = createStartShare();
	for (let index = 0; index < count; index++) {
		recordStartDelay(start, {tookMs: index % lateEvery === 0 ? 600 : 200, objectiveMs});
	}

	return start.share;
};

// Under sustained overload all estimates are near the limit. With a fixed limit, a
// quarter of the admitted requests were late.
t.test('the share of the objective becomes stricter while too many admitted requests are late, and recovers', async t => {
	t.ok(learn(4, 120) < 0.6, 'a quarter late for two seconds at sixty requests per second');
	t.equal(learn(20, 1000), maxStartShare, 'one in twenty late');
	const start = createStartShare();
	for (let index = 0; index < 1000; index++) {
		recordStartDelay(start, {tookMs: 900, objectiveMs});
	}

	t.ok(start.share > 0.4, 'queues of engines do not run empty');
	for (let index = 0; index < 400; index++) {
		recordStartDelay(start, {tookMs: 100, objectiveMs});
	}

	t.equal(start.share, maxStartShare);
});

// Engines of which some are slow make answers late although others have free slots.
t.test('a stricter share refuses no request for which an engine has a free slot', async t => {
	const options: AdmitOptions = {
		retryClass: 'streaming', expectedMs: 190, objectiveMs, effectiveObjectiveMs: objectiveMs, excessMs: 0, spareMs: 200, isOverloaded: false, hasComeBack: false, waitedMs: 0,
		remainingMs: 5000, room: null, isIdle: false, startShare: 0.45, random: createRandom(1),
	};
	t.equal(admitRequest(options).type, 'admitted');
	t.equal(admitRequest({...options, expectedMs: 210}).type, 'refused');
	t.equal(admitRequest({...options, expectedMs: 210, startShare: maxStartShare}).type, 'admitted');
	t.equal(admitRequest({...options, expectedMs: 310, startShare: maxStartShare}).type, 'admitted');
});
