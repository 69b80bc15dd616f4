import t from 'tap';
import {
	applyClaim, canonicalJson, concludeClaim, createLedger, hostId, idempotencyKey, moveClaim, requestId, serviceId, teamId,
	type Change, type ClaimPlace, type Ledger,
} from '@bitternpaddle/state';

const limits = {retentionMs: 1000, maxClaims: 3, maxBodyBytes: 10};

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

t.test('a key is held by one request, and later requests learn its destination', async t => {
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

// Entry 1 claims a key and stalls before it dispatches the request. The retry's entry
// resolves the attempt as "not run" and claims the key. When entry 1 resumes, it moves its
// claim to another endpoint, which must be refused, or the request runs twice.
t.test('an entry that lost its claim cannot move it', async t => {
	const ledger = createLedger();
	claim(ledger, 'k', 'r1');
	t.match(conclude(ledger, 'k', 'r1', {type: 'notRun'}), {type: 'accepted'});
	t.same(claim(ledger, 'k', 'r2'), {type: 'claimed'});
	t.match(moveClaim(ledger, {type: 'moveClaim', ...name('k', 'r1'), place: place('r1.2')}, 9), {type: 'refused', code: 'stale'});
});

// The retry's entry resolves the first attempt as "not run", but before it reports that,
// the request has moved to a second endpoint. The outdated outcome must not release the
// key, or the retry runs in parallel to the second attempt.
t.test('the outcome of an earlier attempt does not conclude a claim that has moved', async t => {
	const ledger = createLedger();
	claim(ledger, 'k', 'r1');
	t.match(moveClaim(ledger, {type: 'moveClaim', ...name('k', 'r1'), place: place('r1.2')}, 9), {type: 'accepted'});
	t.match(conclude(ledger, 'k', 'r1', {type: 'notRun'}, 'r1.1'), {type: 'refused', code: 'stale'});
	t.match(claim(ledger, 'k', 'r2'), {type: 'claimHeld', state: {type: 'inProgress'}, place: {attemptId: 'r1.2'}});
});

t.test('an outcome is retained for all requests until it expires, and is never replaced', async t => {
	const ledger = createLedger();
	claim(ledger, 'k', 'r1', {atMs: 100});
	conclude(ledger, 'k', 'r1', {type: 'mayHaveRun'});
	t.match(conclude(ledger, 'k', 'r1', ran('QQ==')), {type: 'refused', code: 'stale'});
	t.match(claim(ledger, 'k', 'r2', {atMs: 1100}), {type: 'claimHeld', state: {type: 'mayHaveRun'}});
	t.same(claim(ledger, 'k', 'r3', {atMs: 1101}), {type: 'claimed'}, 'the key is free again after its time');
});

// An entry whose clock is slow reports an earlier time. It must neither extend nor
// shorten the retention of other claims.
t.test('the time of claims never goes backwards', async t => {
	const ledger = createLedger();
	claim(ledger, 'a', 'r1', {atMs: 1000});
	claim(ledger, 'b', 'r2', {atMs: 0});
	t.equal(ledger.claims['marshals/ledger/b']!.atMs, 1000);
});

// The ledger has reached its maximum number of claims. Dropping one early would allow
// its key to run twice, so the new claim is refused instead.
t.test('a full ledger refuses new claims, and drops the bodies of answers but not their outcomes', async t => {
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

/** Counts the reads and writes of an object's properties, and the keys that are listed. */
const countAccesses = <T extends object>(list: T, accesses: {count: number}): T => new Proxy(list, {
	get(target, property, receiver) {
		accesses.count++;
		return Reflect.get(target, property, receiver) as unknown;
	},
	set(target, property, value) {
		accesses.count++;
		return Reflect.set(target, property, value);
	},
	ownKeys(target) {
		const keys = Reflect.ownKeys(target);
		accesses.count += keys.length;
		return keys;
	},
});

// The ledger holds the claims of a day, and each new one removes the oldest claim or the
// oldest retained answer. All entries wait for the one control host that applies claims,
// so the cost of a claim must not depend on their number.
t.test('the number of accesses per claim does not depend on the number of claims', async t => {
	const accessesPerClaim = (claims: number): number => {
		const scaledLimits = {retentionMs: claims, maxClaims: claims * 2, maxBodyBytes: claims / 2};
		const ledger = createLedger();
		const accesses = {count: 0};
		const run = (index: number): void => {
			applyClaim(ledger, {
				type: 'claim', ...name(`k${index}`, 'r'), bodyDigest: 'a', atMs: index, place: null,
			}, scaledLimits);
			concludeClaim(ledger, {
				type: 'concludeClaim', ...name(`k${index}`, 'r'), attemptId: null, outcome: ran('1'),
			}, 9, scaledLimits);
		};

		for (let index = 0; index < claims * 2; index++) {
			run(index);
			if (index === claims) {
				ledger.claims = countAccesses(ledger.claims, accesses);
				ledger.claimOrder = countAccesses(ledger.claimOrder, accesses);
				ledger.claimBodies = countAccesses(ledger.claimBodies, accesses);
			}
		}

		t.equal(Object.keys(ledger.claims).length, claims + 1, 'one expires for each new claim');
		return accesses.count / claims;
	};

	const [few, many] = [accessesPerClaim(500), accessesPerClaim(2000)];
	t.comment(`${few} and ${many} accesses per claim`);
	t.ok(many < 1.5 * few, 'about the same at four times as many claims');
});

// A control host starts from a snapshot of an older version without a count of claims.
// It must refuse at the same claim as the other control hosts.
t.test('a snapshot without a count of claims is supported', async t => {
	const {claimCount: _, starts: __, ...older} = createLedger();
	for (const key of ['a', 'b']) {
		claim(older, key, 'r1');
	}

	const restarted = JSON.parse(canonicalJson({...older, claimCount: undefined, starts: undefined})) as Ledger;
	conclude(restarted, 'a', 'r1', {type: 'notRun'});
	t.same(claim(restarted, 'c', 'r1'), {type: 'claimed'});
	t.same(claim(restarted, 'd', 'r1'), {type: 'claimed'});
	t.match(claim(restarted, 'e', 'r1'), {type: 'refused'});
	t.same(claim(restarted, 'e', 'r1', {atMs: 1001}), {type: 'claimed'}, 'all others have expired');
	t.same(Object.keys(restarted.claims), ['marshals/ledger/e']);
});
