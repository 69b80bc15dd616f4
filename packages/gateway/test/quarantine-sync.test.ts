import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom, promptPart, type RequestFingerprint} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createGatewayMetrics, createRequestQuarantine, decodeQuarantineSync, encodeCrashUpdate, encodeQuarantineSync, type QuarantinedRequest, type RequestQuarantine,
} from '@bitternpaddle/gateway';

const requestWith = (name: string, ids: readonly string[]): QuarantinedRequest => ({
	outline: () => name as ReturnType<QuarantinedRequest['outline']>, fingerprint: () => `${name}.digest-of-${name}` as RequestFingerprint,
	promptParts: () => ids.map(id => promptPart('org/model', id)),
});
const fatal = requestWith('fatal', ['own']);
const withBadPart = requestWith('new', ['first', 'bad']);

/** Entries whose datagrams arrive at once, unless the addressee is in `silent`. */
const createFleet = (t: Test) => {
	let nowMs = 0;
	const entries = new Map<string, RequestQuarantine>();
	const silent = new Set<string>();
	const start = (selfAddress: string): RequestQuarantine => {
		const entry = createRequestQuarantine({
			selfAddress, peers: () => [...entries.keys()].filter(address => address !== selfAddress),
			send(data, addresses) {
				for (const address of addresses.filter(address => !silent.has(address))) {
					entries.get(address)?.receive(Buffer.from(data));
				}
			},
			logger: silentLogger, metrics: createGatewayMetrics(), random: createRandom(1), nowMs: () => nowMs,
		});
		t.teardown(entry.close);
		entries.set(selfAddress, entry);
		return entry;
	};

	return {
		start, silent,
		advance(ms: number) {
			nowMs += ms;
		},
	};
};

const crash = (entry: RequestQuarantine, requests: readonly QuarantinedRequest[], address: string): void => {
	for (const request of requests) {
		entry.recordDisconnect(request, address, 'begun');
	}

	entry.recordExit(address);
};

/** Five exits with a bad part and five with one request; each exit takes a sound request along. */
const condemn = ({advance}: ReturnType<typeof createFleet>, entry: RequestQuarantine): void => {
	for (let index = 0; index < 5; index++) {
		crash(entry, [requestWith(`bad${index}`, ['first', 'bad']), requestWith(`sound${index}`, ['first', `theme${index}`])], `10.0.0.${index}:80`);
		crash(entry, [fatal], `10.0.1.${index}:80`);
		for (let run = 0; run < 4; run++) {
			entry.recordCompletion(requestWith(`run${index}-${run}`, ['first', `other${run}`]), '10.0.9.9:80');
		}

		advance(300);
	}
};

// Guards against an entry that sends condemned requests after its start, until another one repeats its verdicts.
t.test('an entry that starts asks for the verdicts of the others and has them at once', async t => {
	const fleet = createFleet(t);
	const first = fleet.start('a');
	condemn(fleet, first);
	while (first.verdictOn(withBadPart) === null) {
		await delay(20);
	}

	const started = fleet.start('b');
	started.sync();
	t.match(started.verdictOn(fatal), {type: 'request'});
	t.match(started.verdictOn(withBadPart), {type: 'part', parts: ['org/model/bad']});
	t.equal(started.verdictOn(requestWith('sound0', ['first', 'theme0'])), null);
	t.notOk(started.isSyncing());
});

t.test('an entry awaits the answer of others, but not for long', async t => {
	const fleet = createFleet(t);
	const alone = fleet.start('a');
	alone.sync();
	t.notOk(alone.isSyncing(), 'there is nobody to ask');
	fleet.silent.add('a');
	const started = fleet.start('b');
	t.notOk(started.isSyncing());
	started.sync();
	t.ok(started.isSyncing());
	fleet.advance(100);
	t.notOk(started.isSyncing());
});

// Guards against taking the empty ledger of an entry that started a moment ago for the answer.
t.test('an entry that awaits the answer itself does not confirm its own verdicts', async t => {
	const fleet = createFleet(t);
	fleet.start('silent');
	fleet.silent.add('silent');
	fleet.start('a').sync();
	const second = fleet.start('b');
	second.sync();
	t.ok(second.isSyncing());
	fleet.advance(100);
	const third = fleet.start('c');
	third.sync();
	t.notOk(third.isSyncing());
});

t.test('messages round-trip, and other datagrams are not decoded', async t => {
	for (const message of [{type: 'sync', entryAddress: '10.0.0.1:7700'}, {type: 'synced'}] as const) {
		t.same(decodeQuarantineSync(Buffer.from(encodeQuarantineSync(message))), message);
	}

	const update = encodeCrashUpdate({sightings: [], condemned: [], clearances: []}, 0);
	t.same([Buffer.alloc(0), Buffer.from('hello'), Buffer.from(update)].map(data => decodeQuarantineSync(data)), [null, null, null]);
});
