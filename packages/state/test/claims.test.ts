import t from 'tap';
import {
	applyClaim, canonicalJson, concludeClaim, createLedger, hostId, idempotencyKey, moveClaim, requestId, serviceId, teamId,
	type Change, type ClaimPlace, type Ledger,
} from '@bitternpaddle/state';

const limits = {keptMs: 1000, maxClaims: 3, maxBodyBytes: 10};

const place = (attemptId: string): ClaimPlace => ({
	hostId: hostId('ledger-1'), address: '127.0.0.1:1', incarnation: 1, attemptId, issue: {sender: 'entry-1', sequence: 1},
});

const name = (key: string, request: string) => ({
	teamId: teamId('marshals'), serviceId: serviceId('ledger'), key: idempotencyKey(key), requestId: requestId(request),
});

const claim = (ledger: Ledger, key: string, request: string, {atMs = 0, bodyDigest = 'a'} = {}) => applyClaim(ledger, {
	type: 'claim', ...name(key, request), bodyDigest, atMs, place: place(`${request}.1`),
}, limits);

const conclude = (ledger: Ledger, key: string, request: string, outcome: Extract<Change, {type: 'concludeClaim'}>['outcome'], attemptId = `${request}.1`) => concludeClaim(ledger, {
	type: 'concludeClaim', ...name(key, request), attemptId, outcome,
}, 9, limits);

const ran = (body: string) => ({
	type: 'ran' as const, status: 200, contentType: 'application/json', body,
});

t.test('a key is held by one request and tells the next where it went', async t => {
	const ledger = createLedger();
	t.same(claim(ledger, 'k', 'r1'), {type: 'claimed'});
	t.same(claim(ledger, 'k', 'r1'), {type: 'claimed'}, 'the same proposal again');
	t.match(claim(ledger, 'k', 'r2'), {
		type: 'claimHeld', state: {type: 'inProgress'}, requestId: 'r1', place: {attemptId: 'r1.1'},
	});
	conclude(ledger, 'k', 'r1', ran('QQ=='));
	t.match(claim(ledger, 'k', 'r2'), {type: 'claimHeld', state: {type: 'ran', body: 'QQ=='}});
});

t.test('the same key with another body is refused', async t => {
	const ledger = createLedger();
	claim(ledger, 'k', 'r1');
	t.match(claim(ledger, 'k', 'r2', {bodyDigest: 'b'}), {type: 'claimHeld', state: {type: 'differentBody'}});
});

// Entry 1 claims and stalls before it dispatches. The resend's entry settles
// the claim as "not run" and takes the key. When entry 1 wakes up it wants to
// move on to another endpoint: that must be refused, or there are two runs.
t.test('an entry that lost its claim cannot move it', async t => {
	const ledger = createLedger();
	claim(ledger, 'k', 'r1');
	t.match(conclude(ledger, 'k', 'r1', {type: 'notRun'}), {type: 'accepted'});
	t.same(claim(ledger, 'k', 'r2'), {type: 'claimed'});
	t.match(moveClaim(ledger, {type: 'moveClaim', ...name('k', 'r1'), place: place('r1.2')}, 9), {type: 'refused', code: 'stale'});
});

// The resend's entry settles the first attempt as "not run", but before it can
// say so the request has moved to a second endpoint. The old knowledge must
// not free the key, or the resend runs beside the second attempt.
t.test('what is known of an earlier attempt does not conclude a claim that moved on', async t => {
	const ledger = createLedger();
	claim(ledger, 'k', 'r1');
	t.match(moveClaim(ledger, {type: 'moveClaim', ...name('k', 'r1'), place: place('r1.2')}, 9), {type: 'accepted'});
	t.match(conclude(ledger, 'k', 'r1', {type: 'notRun'}, 'r1.1'), {type: 'refused', code: 'stale'});
	t.match(claim(ledger, 'k', 'r2'), {type: 'claimHeld', state: {type: 'inProgress'}, place: {attemptId: 'r1.2'}});
});

t.test('an outcome is kept for its time, whoever asks, and the first one stays', async t => {
	const ledger = createLedger();
	claim(ledger, 'k', 'r1', {atMs: 100});
	conclude(ledger, 'k', 'r1', {type: 'mayHaveRun'});
	t.match(conclude(ledger, 'k', 'r1', ran('QQ==')), {type: 'refused', code: 'stale'});
	t.match(claim(ledger, 'k', 'r2', {atMs: 1100}), {type: 'claimHeld', state: {type: 'mayHaveRun'}});
	t.same(claim(ledger, 'k', 'r3', {atMs: 1101}), {type: 'claimed'}, 'free again after its time');
});

// A clock that runs behind names an earlier time. It must not lengthen or
// shorten what others were promised.
t.test('time is never set back', async t => {
	const ledger = createLedger();
	claim(ledger, 'a', 'r1', {atMs: 1000});
	claim(ledger, 'b', 'r2', {atMs: 0});
	t.equal(ledger.claims['marshals/ledger/b']!.atMs, 1000);
});

// More claims than the ledger may hold. Dropping one early would let its key
// run twice, so the new one is refused instead.
t.test('a full ledger refuses, and drops large answers before outcomes', async t => {
	const ledger = createLedger();
	for (const key of ['a', 'b', 'c']) {
		claim(ledger, key, `r-${key}`);
		conclude(ledger, key, `r-${key}`, ran('12345678'));
	}

	t.match(claim(ledger, 'd', 'r-d'), {type: 'refused'});
	t.match(claim(ledger, 'a', 'r2'), {type: 'claimHeld', state: {type: 'ran', body: null}});
	t.match(claim(ledger, 'c', 'r2'), {type: 'claimHeld', state: {type: 'ran', body: '12345678'}});
	t.equal(ledger.claimBodyBytes, 8);
});

/** Counts how often the items of a list are read or written, or its keys listed. */
const counted = <T extends object>(list: T, touches: {count: number}): T => new Proxy(list, {
	get(target, property, receiver) {
		touches.count++;
		return Reflect.get(target, property, receiver) as unknown;
	},
	set(target, property, value) {
		touches.count++;
		return Reflect.set(target, property, value);
	},
	ownKeys(target) {
		const keys = Reflect.ownKeys(target);
		touches.count += keys.length;
		return keys;
	},
});

// A day's claims are in the ledger, and each new one ends the oldest or drops
// the oldest kept answer. All entries wait for one control host that applies
// them: what a claim touches must not grow with those that are there.
t.test('a claim touches few others, however many there are', async t => {
	const touchesPerClaim = (claims: number): number => {
		const wide = {keptMs: claims, maxClaims: claims * 2, maxBodyBytes: claims / 2};
		const ledger = createLedger();
		const touches = {count: 0};
		const run = (index: number): void => {
			applyClaim(ledger, {
				type: 'claim', ...name(`k${index}`, 'r'), bodyDigest: 'a', atMs: index, place: null,
			}, wide);
			concludeClaim(ledger, {
				type: 'concludeClaim', ...name(`k${index}`, 'r'), attemptId: null, outcome: ran('1'),
			}, 9, wide);
		};

		for (let index = 0; index < claims * 2; index++) {
			run(index);
			if (index === claims) {
				ledger.claims = counted(ledger.claims, touches);
				ledger.claimOrder = counted(ledger.claimOrder, touches);
				ledger.claimBodies = counted(ledger.claimBodies, touches);
			}
		}

		t.equal(Object.keys(ledger.claims).length, claims + 1, 'one ends for each that comes');
		return touches.count / claims;
	};

	const [few, many] = [touchesPerClaim(500), touchesPerClaim(2000)];
	t.comment(`${few} and ${many} touches for each claim`);
	t.ok(many < 1.5 * few, 'the same at four times as many claims');
});

// A control host starts from a snapshot of an older version, which kept no
// count. It must refuse at the same claim as the others do.
t.test('a snapshot without a count of claims is read', async t => {
	const {claimCount: _, starts: __, ...older} = createLedger();
	for (const key of ['a', 'b']) {
		claim(older, key, 'r1');
	}

	const restarted = JSON.parse(canonicalJson({...older, claimCount: undefined, starts: undefined})) as Ledger;
	conclude(restarted, 'a', 'r1', {type: 'notRun'});
	t.same(claim(restarted, 'c', 'r1'), {type: 'claimed'});
	t.same(claim(restarted, 'd', 'r1'), {type: 'claimed'});
	t.match(claim(restarted, 'e', 'r1'), {type: 'refused'});
	t.same(claim(restarted, 'e', 'r1', {atMs: 1001}), {type: 'claimed'}, 'all others have ended');
	t.same(Object.keys(restarted.claims), ['marshals/ledger/e']);
});
