import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {
	clearRequest, confirmExit, confirmRestart, createBrokenAttempts, createCrashLedger, createRandom, fingerprintOf, mayHaveRecords, recordBrokenAttempt, outlineIn, outlineOf, pruneLedger,
	addSightings, verdictOn,
	type CrashLedger, type CrashSighting, type FingerprintedRequest, type RequestFingerprint,
} from '@bitternpaddle/coordination';

const request: FingerprintedRequest = {
	method: 'POST', host: 'a.example', path: '/draft/1', teamName: 'marshals', body: Buffer.from('write'),
};

const requestNamed = (name: string): RequestFingerprint => fingerprintOf({...request, path: `/${name}`});

const crashing = requestNamed('crashing');

const second = requestNamed('second');

/** Sightings of `requests` at an exit of the endpoint at `address`. The answers of crashing requests had begun without a part for the caller. */
const exitOf = (address: string, atMs: number, ...requests: readonly RequestFingerprint[]): CrashSighting[] => requests.map(fingerprint => ({
	fingerprint, address, atMs, stage: fingerprint === crashing || fingerprint === second ? 'begun' : 'answering',
}));

const isRefused = (ledger: CrashLedger, fingerprint: RequestFingerprint, nowMs: number): boolean => verdictOn(ledger, fingerprint, nowMs) !== null;

t.test('a fingerprint distinguishes callers, paths and bodies, and nothing else', async t => {
	const own = fingerprintOf(request);
	t.equal(fingerprintOf({...request, host: 'A.example'}), own, 'host names are case-insensitive');
	t.equal(fingerprintOf({...request, body: Buffer.concat([Buffer.from('wr'), Buffer.from('ite')])}), own, 'a body in several parts');
	const others = [{teamName: 'vendors'}, {teamName: null}, {path: '/draft/1?a'}, {method: 'PUT'}, {body: Buffer.from('writf')}, {body: null}, {body: Buffer.alloc(0)}];
	const all = [own, ...others.map(other => fingerprintOf({...request, ...other}))];
	t.equal(new Set(all).size, all.length);
	t.ok(all.every(fingerprint => fingerprint.length < 64), 'the size of a record in the ledger does not grow with the request');
	t.equal(outlineIn(own), outlineOf(request));
	t.equal(outlineOf({...request, body: Buffer.from('WRITE')}), outlineOf(request), 'the outline does not depend on the content of the body');
});

t.test('three exits quarantine the one request that was at all of them', async t => {
	const ledger = createCrashLedger();
	addSightings(ledger, exitOf('e1', 0, crashing, requestNamed('a'), requestNamed('b')), 0);
	addSightings(ledger, exitOf('e2', 100, crashing, requestNamed('c'), requestNamed('a')), 100);
	t.notOk(isRefused(ledger, crashing, 100), 'two exits may be coincidence');
	t.same(addSightings(ledger, exitOf('e3', 200, requestNamed('d'), crashing), 200).verdicts.map(({fingerprint}) => fingerprint), [crashing]);
	for (const innocent of ['a', 'b', 'c', 'd']) {
		t.notOk(isRefused(ledger, requestNamed(innocent), 200), innocent);
	}
});

t.test('sightings of one exit by several entries count once', async t => {
	const ledger = createCrashLedger();
	for (const atMs of [0, 40, 90]) {
		addSightings(ledger, exitOf('e1', atMs, crashing), atMs);
	}

	t.equal(ledger.ends.length, 1);
	addSightings(ledger, exitOf('e1', 700, crashing), 700);
	t.equal(ledger.ends.length, 2, 'the exit of its next start is another one');
});

// Guards against blaming callers when the endpoints of a rack fail one by one and the
// same patient callers retry at the next one.
t.test('callers at several exits with another cause are not refused', async t => {
	const ledger = createCrashLedger();
	const callers = ['a', 'b', 'c', 'd', 'e', 'f'].map(name => requestNamed(name));
	for (const [index, address] of ['e1', 'e2', 'e3', 'e4'].entries()) {
		addSightings(ledger, exitOf(address, index * 100, ...callers), index * 100);
	}

	t.same(callers.filter(caller => isRefused(ledger, caller, 400)), []);
});

t.test('a caller at three of eight exits is not refused', async t => {
	const ledger = createCrashLedger();
	for (let index = 0; index < 8; index++) {
		addSightings(ledger, exitOf(`e${index}`, index * 100, requestNamed(`n${index}`), ...(index % 3 === 0 ? [requestNamed('unlucky')] : [])), index * 100);
	}

	t.notOk(isRefused(ledger, requestNamed('unlucky'), 800));
});

// Three exits are not enough for a request whose answer breaks at varying stages.
t.test('a request that breaks in the middle of its answer takes four exits', async t => {
	const ledger = createCrashLedger();
	for (const [index, address] of ['e1', 'e2', 'e3', 'e4'].entries()) {
		t.notOk(isRefused(ledger, requestNamed('midway'), index * 100));
		addSightings(ledger, exitOf(address, index * 100, requestNamed('midway'), requestNamed(`n${index}`)), index * 100);
	}

	t.ok(isRefused(ledger, requestNamed('midway'), 400));
});

t.test('copies that waited behind the one that crashed an endpoint do not hide it', async t => {
	const ledger = createCrashLedger();
	for (const [index, address] of ['e1', 'e2', 'e3'].entries()) {
		const [sighting] = exitOf(address, index * 100, crashing);
		addSightings(ledger, [{...sighting!, stage: 'waiting'}, sighting!, {...sighting!, stage: 'waiting'}], index * 100);
	}

	t.ok(isRefused(ledger, crashing, 300));
});

t.test('a verdict of another entry is adopted with three exits as evidence', async t => {
	const ledger = createCrashLedger();
	const unrelated = Array.from({length: 9}, (_, index) => exitOf(`n${index}`, index * 100, requestNamed(`n${index}`))).flat();
	addSightings(ledger, [...unrelated, ...exitOf('e1', 100, crashing), ...exitOf('e2', 500, crashing)], 900, new Set([crashing]));
	t.notOk(isRefused(ledger, crashing, 900), 'its evidence is not complete yet');
	addSightings(ledger, exitOf('e3', 800, crashing), 900);
	t.notOk(isRefused(ledger, crashing, 900), 'the evidence here alone does not identify it');
	addSightings(ledger, [], 900, new Set([crashing]));
	t.ok(isRefused(ledger, crashing, 900));
});

// Eight endpoints exit in turn, and callers with four tries each are sent to others.
t.test('no patient caller is refused when a rack fails, in a hundred random series', async t => {
	let refused = 0;
	for (let seed = 1; seed <= 100; seed++) {
		const random = createRandom(seed);
		const ledger = createCrashLedger();
		const stages = ['waiting', 'waiting', 'begun', 'answering', 'answering'] as const;
		const callers = Array.from({length: 12}, (_, index) => ({name: `c${index}`, tries: 0, at: random.between(0, 7)}));
		for (let index = 0; index < 8; index++) {
			const taken = callers.filter(({at}) => at === index);
			addSightings(ledger, taken.map(({name}) => ({
				fingerprint: requestNamed(name), address: `e${index}`, atMs: index * 100, stage: stages[random.between(0, 4)]!,
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

t.test('exits that are attributed to one request do not count against others', async t => {
	const ledger = createCrashLedger();
	for (let index = 0; index < 6; index++) {
		addSightings(ledger, exitOf(`e${index}`, index * 100, crashing, ...(index > 2 ? [requestNamed('neighbour')] : [])), index * 100);
	}

	t.ok(isRefused(ledger, crashing, 600));
	t.notOk(isRefused(ledger, requestNamed('neighbour'), 600));
});

t.test('two crashing requests at alternating exits are both found', async t => {
	const ledger = createCrashLedger();
	for (let index = 0; index < 12; index++) {
		addSightings(ledger, exitOf(`e${index}`, index * 100, index % 2 === 0 ? crashing : second, requestNamed(`n${index}`)), index * 100);
	}

	t.ok(isRefused(ledger, crashing, 1200));
	t.ok(isRefused(ledger, second, 1200));
});

t.test('a request that runs to completion is cleared, and stays so when old sightings arrive again', async t => {
	const ledger = createCrashLedger();
	const old = [...exitOf('e1', 0, crashing), ...exitOf('e2', 100, crashing)];
	addSightings(ledger, old, 100);
	clearRequest(ledger, {fingerprint: crashing, atMs: 150}, 150);
	addSightings(ledger, [...old, ...exitOf('e3', 200, crashing)], 200);
	t.notOk(isRefused(ledger, crashing, 200));
	addSightings(ledger, [...exitOf('e4', 300, crashing), ...exitOf('e5', 400, crashing)], 400);
	t.ok(isRefused(ledger, crashing, 400), 'three later exits count again');
	clearRequest(ledger, {fingerprint: crashing, atMs: 100}, 500);
	t.ok(isRefused(ledger, crashing, 500), 'a run from before the exits proves nothing');
	clearRequest(ledger, {fingerprint: crashing, atMs: 450}, 500);
	t.notOk(isRefused(ledger, crashing, 500));
});

t.test('a verdict expires, and is extended while the request keeps crashing endpoints', async t => {
	const ledger = createCrashLedger();
	addSightings(ledger, [...exitOf('e1', 0, crashing), ...exitOf('e2', 100, crashing), ...exitOf('e3', 200, crashing)], 200);
	const {untilMs} = verdictOn(ledger, crashing, 200)!;
	addSightings(ledger, exitOf('e4', 5000, crashing), 5000);
	t.equal(verdictOn(ledger, crashing, 5000)!.untilMs, untilMs + 4800);
	t.notOk(isRefused(ledger, crashing, untilMs + 4800), 'a repaired endpoint is tried again');
	const renewed = addSightings(ledger, exitOf('e5', untilMs + 10_000, crashing), untilMs + 10_000);
	t.same(renewed.verdicts.map(({fingerprint}) => fingerprint), [crashing], 'one more exit is enough then');
	t.ok(isRefused(ledger, crashing, untilMs + 20_000));
	pruneLedger(ledger, untilMs + 10_000_000);
	t.same([ledger.ends.length, ledger.verdicts.size, mayHaveRecords(ledger, outlineIn(crashing))], [0, 0, false], 'no record of it is left');
});

t.test('a flood of other requests neither grows the ledger beyond its limit nor evicts a verdict', async t => {
	const ledger = createCrashLedger();
	addSightings(ledger, [...exitOf('e1', 0, crashing), ...exitOf('e2', 100, crashing), ...exitOf('e3', 200, crashing)], 200);
	for (let index = 0; index < 1000; index++) {
		addSightings(ledger, exitOf(`f${index}`, 1000 + index, ...Array.from({length: 5}, (_, caller) => requestNamed(`flood-${index}-${caller}`))), 1000 + index);
	}

	t.ok(isRefused(ledger, crashing, 3000));
	t.ok(ledger.ends.length <= 256, `${ledger.ends.length} exits`);
	t.equal(ledger.verdicts.size, 1);
});

t.test('all entries reach the same verdict, in whatever order and however often they receive the sightings', async t => {
	const sightings = Array.from({length: 5}, (_, index) => exitOf(`e${index}`, index * 700, crashing, requestNamed(`n${index}`), requestNamed(`m${index}`))).flat();
	fc.assert(fc.property(fc.shuffledSubarray(sightings, {minLength: sightings.length}), fc.array(fc.nat({max: sightings.length - 1}), {maxLength: 20}), (order, repeated) => {
		const ledger = createCrashLedger();
		for (const sighting of [...order, ...repeated.map(index => sightings[index]!)]) {
			addSightings(ledger, [sighting], 4000);
		}

		return isRefused(ledger, crashing, 4000) && ledger.verdicts.size === 1 && ledger.ends.length === 5;
	}), {seed: 28});
});

t.test('an ended connection is a crash only if its endpoint exits', async t => {
	const state = createBrokenAttempts();
	const broken = (atMs: number): CrashSighting => ({
		fingerprint: crashing, address: 'e1', atMs, stage: 'waiting',
	});
	t.notOk(recordBrokenAttempt(state, broken(0)));
	t.same(confirmExit(state, 'e2', 50), [], 'another endpoint exited');
	t.same(confirmExit(state, 'e1', 100), [broken(0)]);
	t.same(confirmExit(state, 'e1', 150), [], 'each attempt is returned only once');
	t.ok(recordBrokenAttempt(state, broken(200)), 'an attempt that breaks just after a confirmed exit is attributed to it');
	t.same(confirmRestart(state, 'e1', 3000), []);
	t.notOk(recordBrokenAttempt(state, broken(3100)), 'the next start has not exited');
	t.same(confirmExit(state, 'e1', 6000), [], 'an exit long after is unrelated');
});
