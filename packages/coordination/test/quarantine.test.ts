import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {
	clearRequest, confirmEnded, confirmRestarted, createBrokenAttempts, createCrashLedger, createRandom, fingerprintOf, mayBeKnown, noteBroken, outlineIn, outlineOf, pruneLedger, takeSightings,
	verdictOn,
	type CrashLedger, type CrashSighting, type FingerprintedRequest, type RequestFingerprint,
} from '@bitternpaddle/coordination';

const request: FingerprintedRequest = {
	method: 'POST', host: 'a.example', path: '/draft/1', teamName: 'marshals', body: Buffer.from('write'),
};

const named = (name: string): RequestFingerprint => fingerprintOf({...request, path: `/${name}`});

const crashing = named('crashing');

const second = named('second');

/** `who` were at the end of the endpoint at `address`; of what ends endpoints nothing had come. */
const end = (address: string, atMs: number, ...who: readonly RequestFingerprint[]): CrashSighting[] => who.map(fingerprint => ({
	fingerprint, address, atMs, stage: fingerprint === crashing || fingerprint === second ? 'begun' : 'answering',
}));

const isRefused = (ledger: CrashLedger, fingerprint: RequestFingerprint, nowMs: number): boolean => verdictOn(ledger, fingerprint, nowMs) !== null;

t.test('a fingerprint tells callers, paths and bodies apart, and nothing else', async t => {
	const own = fingerprintOf(request);
	t.equal(fingerprintOf({...request, host: 'A.example'}), own, 'hosts are the same in any case');
	t.equal(fingerprintOf({...request, body: Buffer.concat([Buffer.from('wr'), Buffer.from('ite')])}), own, 'in parts');
	const others = [{teamName: 'vendors'}, {teamName: null}, {path: '/draft/1?a'}, {method: 'PUT'}, {body: Buffer.from('writf')}, {body: null}, {body: Buffer.alloc(0)}];
	const all = [own, ...others.map(other => fingerprintOf({...request, ...other}))];
	t.equal(new Set(all).size, all.length);
	t.ok(all.every(fingerprint => fingerprint.length < 64), 'bytes of an entry of the table do not grow with the request');
	t.equal(outlineIn(own), outlineOf(request));
	t.equal(outlineOf({...request, body: Buffer.from('WRITE')}), outlineOf(request), 'the outline needs no hash of the body');
});

t.test('three ends condemn the one request that was at all of them', async t => {
	const ledger = createCrashLedger();
	takeSightings(ledger, end('e1', 0, crashing, named('a'), named('b')), 0);
	takeSightings(ledger, end('e2', 100, crashing, named('c'), named('a')), 100);
	t.notOk(isRefused(ledger, crashing, 100), 'two ends are chance');
	t.same(takeSightings(ledger, end('e3', 200, named('d'), crashing), 200).verdicts.map(({fingerprint}) => fingerprint), [crashing]);
	for (const innocent of ['a', 'b', 'c', 'd']) {
		t.notOk(isRefused(ledger, named(innocent), 200), innocent);
	}
});

t.test('what entries saw of one end counts once', async t => {
	const ledger = createCrashLedger();
	for (const atMs of [0, 40, 90]) {
		takeSightings(ledger, end('e1', atMs, crashing), atMs);
	}

	t.equal(ledger.ends.length, 1);
	takeSightings(ledger, end('e1', 700, crashing), 700);
	t.equal(ledger.ends.length, 2, 'its next start is another end');
});

// A rack dies endpoint by endpoint, and the same patient callers repeat at the next.
t.test('callers that were at three ends of another cause are not refused', async t => {
	const ledger = createCrashLedger();
	const callers = ['a', 'b', 'c', 'd', 'e', 'f'].map(name => named(name));
	for (const [index, address] of ['e1', 'e2', 'e3', 'e4'].entries()) {
		takeSightings(ledger, end(address, index * 100, ...callers), index * 100);
	}

	t.same(callers.filter(caller => isRefused(ledger, caller, 400)), []);
});

t.test('one caller at three of eight ends is not refused', async t => {
	const ledger = createCrashLedger();
	for (let index = 0; index < 8; index++) {
		takeSightings(ledger, end(`e${index}`, index * 100, named(`n${index}`), ...(index % 3 === 0 ? [named('unlucky')] : [])), index * 100);
	}

	t.notOk(isRefused(ledger, named('unlucky'), 800));
});

// Where a request breaks at any stage of its answer, three ends are not enough.
t.test('a request that breaks off in the middle of its answers takes four ends', async t => {
	const ledger = createCrashLedger();
	for (const [index, address] of ['e1', 'e2', 'e3', 'e4'].entries()) {
		t.notOk(isRefused(ledger, named('midway'), index * 100));
		takeSightings(ledger, end(address, index * 100, named('midway'), named(`n${index}`)), index * 100);
	}

	t.ok(isRefused(ledger, named('midway'), 400));
});

t.test('copies that waited behind the one that ended an endpoint do not blur it', async t => {
	const ledger = createCrashLedger();
	for (const [index, address] of ['e1', 'e2', 'e3'].entries()) {
		const [sighting] = end(address, index * 100, crashing);
		takeSightings(ledger, [{...sighting!, stage: 'waiting'}, sighting!, {...sighting!, stage: 'waiting'}], index * 100);
	}

	t.ok(isRefused(ledger, crashing, 300));
});

t.test('a verdict of another entry is taken over with three ends of evidence', async t => {
	const ledger = createCrashLedger();
	const crowd = Array.from({length: 9}, (_, index) => end(`n${index}`, index * 100, named(`n${index}`))).flat();
	takeSightings(ledger, [...crowd, ...end('e1', 100, crashing), ...end('e2', 500, crashing)], 900, new Set([crashing]));
	t.notOk(isRefused(ledger, crashing, 900), 'its evidence is not whole yet');
	takeSightings(ledger, end('e3', 800, crashing), 900);
	t.notOk(isRefused(ledger, crashing, 900), 'here alone it does not stand out');
	takeSightings(ledger, [], 900, new Set([crashing]));
	t.ok(isRefused(ledger, crashing, 900));
});

// Eight endpoints end in turn, and callers of four tries each are sent to others.
t.test('of the patient callers of a rack that dies none is refused, in a hundred series', async t => {
	let refused = 0;
	for (let seed = 1; seed <= 100; seed++) {
		const random = createRandom(seed);
		const ledger = createCrashLedger();
		const stages = ['waiting', 'waiting', 'begun', 'answering', 'answering'] as const;
		const callers = Array.from({length: 12}, (_, index) => ({name: `c${index}`, tries: 0, at: random.between(0, 7)}));
		for (let index = 0; index < 8; index++) {
			const taken = callers.filter(({at}) => at === index);
			takeSightings(ledger, taken.map(({name}) => ({
				fingerprint: named(name), address: `e${index}`, atMs: index * 100, stage: stages[random.between(0, 4)]!,
			})), index * 100);
			for (const caller of taken) {
				caller.tries++;
				caller.at = caller.tries < 4 ? random.between(0, 7) : -1;
			}
		}

		refused += ledger.verdicts.size;
	}

	t.equal(refused, 0);
});

t.test('ends that are put down to one request count against nobody else', async t => {
	const ledger = createCrashLedger();
	for (let index = 0; index < 6; index++) {
		takeSightings(ledger, end(`e${index}`, index * 100, crashing, ...(index > 2 ? [named('neighbour')] : [])), index * 100);
	}

	t.ok(isRefused(ledger, crashing, 600));
	t.notOk(isRefused(ledger, named('neighbour'), 600));
});

t.test('two crashing requests among each other are both found', async t => {
	const ledger = createCrashLedger();
	for (let index = 0; index < 12; index++) {
		takeSightings(ledger, end(`e${index}`, index * 100, index % 2 === 0 ? crashing : second, named(`n${index}`)), index * 100);
	}

	t.ok(isRefused(ledger, crashing, 1200));
	t.ok(isRefused(ledger, second, 1200));
});

t.test('a request that runs to its end is innocent, and stays so when old news come again', async t => {
	const ledger = createCrashLedger();
	const old = [...end('e1', 0, crashing), ...end('e2', 100, crashing)];
	takeSightings(ledger, old, 100);
	clearRequest(ledger, {fingerprint: crashing, atMs: 150}, 150);
	takeSightings(ledger, [...old, ...end('e3', 200, crashing)], 200);
	t.notOk(isRefused(ledger, crashing, 200));
	takeSightings(ledger, [...end('e4', 300, crashing), ...end('e5', 400, crashing)], 400);
	t.ok(isRefused(ledger, crashing, 400), 'three ends behind it count anew');
	clearRequest(ledger, {fingerprint: crashing, atMs: 100}, 500);
	t.ok(isRefused(ledger, crashing, 500), 'a run from before the ends proves nothing');
	clearRequest(ledger, {fingerprint: crashing, atMs: 450}, 500);
	t.notOk(isRefused(ledger, crashing, 500));
});

t.test('a verdict ends, and one that goes on ending endpoints is longer in force', async t => {
	const ledger = createCrashLedger();
	takeSightings(ledger, [...end('e1', 0, crashing), ...end('e2', 100, crashing), ...end('e3', 200, crashing)], 200);
	const {untilMs} = verdictOn(ledger, crashing, 200)!;
	takeSightings(ledger, end('e4', 5000, crashing), 5000);
	t.equal(verdictOn(ledger, crashing, 5000)!.untilMs, untilMs + 4800);
	t.notOk(isRefused(ledger, crashing, untilMs + 4800), 'a mended endpoint gets its try');
	const renewed = takeSightings(ledger, end('e5', untilMs + 10_000, crashing), untilMs + 10_000);
	t.same(renewed.verdicts.map(({fingerprint}) => fingerprint), [crashing], 'one more end is enough then');
	t.ok(isRefused(ledger, crashing, untilMs + 20_000));
	pruneLedger(ledger, untilMs + 10_000_000);
	t.same([ledger.ends.length, ledger.verdicts.size, mayBeKnown(ledger, outlineIn(crashing))], [0, 0, false], 'and nothing is left of it');
});

t.test('a flood of other requests neither grows the table nor pushes a verdict out', async t => {
	const ledger = createCrashLedger();
	takeSightings(ledger, [...end('e1', 0, crashing), ...end('e2', 100, crashing), ...end('e3', 200, crashing)], 200);
	for (let index = 0; index < 1000; index++) {
		takeSightings(ledger, end(`f${index}`, 1000 + index, ...Array.from({length: 5}, (_, caller) => named(`flood-${index}-${caller}`))), 1000 + index);
	}

	t.ok(isRefused(ledger, crashing, 3000));
	t.ok(ledger.ends.length <= 256, `${ledger.ends.length} ends`);
	t.equal(ledger.verdicts.size, 1);
});

t.test('all entries come to the same verdict, in whatever order and however often they hear', async t => {
	const sightings = Array.from({length: 5}, (_, index) => end(`e${index}`, index * 700, crashing, named(`n${index}`), named(`m${index}`))).flat();
	fc.assert(fc.property(fc.shuffledSubarray(sightings, {minLength: sightings.length}), fc.array(fc.nat({max: sightings.length - 1}), {maxLength: 20}), (order, again) => {
		const ledger = createCrashLedger();
		for (const sighting of [...order, ...again.map(index => sightings[index]!)]) {
			takeSightings(ledger, [sighting], 4000);
		}

		return isRefused(ledger, crashing, 4000) && ledger.verdicts.size === 1 && ledger.ends.length === 5;
	}), {seed: 28});
});

t.test('a connection that ends is a crash only if its endpoint ends', async t => {
	const state = createBrokenAttempts();
	const broken = (atMs: number): CrashSighting => ({
		fingerprint: crashing, address: 'e1', atMs, stage: 'waiting',
	});
	t.notOk(noteBroken(state, broken(0)));
	t.same(confirmEnded(state, 'e2', 50), [], 'another endpoint ended');
	t.same(confirmEnded(state, 'e1', 100), [broken(0)]);
	t.same(confirmEnded(state, 'e1', 150), [], 'once only');
	t.ok(noteBroken(state, broken(200)), 'an end that is known takes along what breaks behind it');
	t.same(confirmRestarted(state, 'e1', 3000), []);
	t.notOk(noteBroken(state, broken(3100)), 'the next start has not ended');
	t.same(confirmEnded(state, 'e1', 6000), [], 'an end long after is another matter');
});
