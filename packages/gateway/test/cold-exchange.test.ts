import t from 'tap';
import {
	coldPerSecond, createColdFleet, type ColdEntry, type ColdFleet,
} from './support/cold-fleet.js';

/** 1.5 times the limit plus 5. */
const boundCount = 44;

const maxInSecond = (timesMs: readonly number[]): number => Math.max(0, ...timesMs.map(startMs => timesMs.filter(atMs => atMs >= startMs && atMs < startMs + 1000).length));

const usedShare = ({sendsMs}: ColdFleet, fromMs: number, untilMs: number): number => sendsMs.filter(atMs => atMs >= fromMs && atMs < untilMs).length * 1000 / (coldPerSecond * (untilMs - fromMs));

// Guards against a limit that is exceeded by permits of several entries, or mostly unused by entries with few requests.
for (const entryCount of [2, 8, 20]) {
	t.test(`${entryCount} entries use four fifths of the limit of a cold endpoint, and in no second more than all of it`, async t => {
		const fleet = createColdFleet({seed: 1, entryCount, requestsPerSecond: 30});
		fleet.runUntil(30_000);
		const max = maxInSecond(fleet.sendsMs.filter(atMs => atMs > 5000));
		const used = usedShare(fleet, 5000, 30_000);
		t.ok(max <= coldPerSecond, `${max} requests in a second`);
		t.ok(used >= 0.8, `${used.toFixed(2)} of the limit is used`);
	});
}

// Guards against sending twice the limit between the failure of an issuer and its replacement, and against sending nothing.
t.test('the bound holds while the issuer is down and when it is replaced', async t => {
	const fleet = createColdFleet({seed: 2, entryCount: 20, requestsPerSecond: 120});
	fleet.runUntil(5000);
	fleet.issuer().isRunning = false;
	fleet.runUntil(15_000);
	t.ok(maxInSecond(fleet.sendsMs) <= boundCount, `${maxInSecond(fleet.sendsMs)} requests in a second`);
	t.ok(usedShare(fleet, 5500, 7500) > 0.3, 'half of the limit is used without an issuer');
	t.ok(usedShare(fleet, 10_000, 15_000) > 0.8, 'the next issuer grants the limit');
});

// Guards against two issuers: the disconnected one continues for itself, and the others have moved to the next.
t.test('the bound holds while the issuer is disconnected from the core and the other entries', async t => {
	const fleet = createColdFleet({seed: 3, entryCount: 2, requestsPerSecond: 200});
	fleet.runUntil(5000);
	fleet.issuer().isPartitioned = true;
	fleet.runUntil(12_000);
	fleet.issuer().isPartitioned = false;
	fleet.runUntil(18_000);
	t.ok(maxInSecond(fleet.sendsMs) <= boundCount, `${maxInSecond(fleet.sendsMs)} requests in a second`);
});

t.test('an entry that has just started sends nothing until it knows the other entries', async t => {
	const fleet = createColdFleet({seed: 4, entryCount: 3, requestsPerSecond: 200});
	fleet.runUntil(5000);
	fleet.isCoreRunning = false;
	fleet.restart(fleet.issuer());
	const before = fleet.sendsMs.length;
	fleet.runUntil(8000);
	t.ok(maxInSecond(fleet.sendsMs.slice(before)) <= coldPerSecond / 2, 'the others send their part of half the limit');
	t.ok(maxInSecond(fleet.sendsMs) <= boundCount);
});

// Guards against a core without a majority: no issuer is confirmed, and all entries send their part of half the limit.
t.test('half of the limit is used while no core host is confirmed', async t => {
	const fleet = createColdFleet({seed: 5, entryCount: 8, requestsPerSecond: 100});
	fleet.runUntil(5000);
	fleet.isCoreRunning = false;
	fleet.runUntil(15_000);
	const max = maxInSecond(fleet.sendsMs.filter(atMs => atMs > 8500));
	t.ok(max <= coldPerSecond / 2 && max >= coldPerSecond / 3, `${max} requests in a second`);
});

const disturb = (fleet: ColdFleet, entry: ColdEntry, kind: number, isBegin: boolean): void => {
	if (kind === 0) {
		entry.isPartitioned = isBegin;
	} else if (isBegin) {
		entry.isRunning = false;
	} else if (kind === 1) {
		fleet.restart(entry);
	} else {
		entry.isRunning = true;
	}
};

// Guards against exceeding the bound under restarts, suspensions and partitions, the issuer's among them, with lost datagrams.
t.test('the bound holds under random schedules of faults', async t => {
	for (let seed = 1; seed <= 30; seed++) {
		const fleet = createColdFleet({
			seed, entryCount: [2, 8, 20][seed % 3]!, requestsPerSecond: 90, lossShare: 0.03,
		});
		let faultEndsAtMs = 3000;
		let end = (): void => undefined;
		fleet.runUntil(25_000, nowMs => {
			if (nowMs < faultEndsAtMs) {
				return;
			}

			end();
			const entry = fleet.random.between(0, 1) === 0 ? fleet.issuer() : fleet.entries[fleet.random.between(0, fleet.entries.length - 1)]!;
			const kind = fleet.random.between(0, 2);
			disturb(fleet, entry, kind, true);
			end = () => {
				disturb(fleet, entry, kind, false);
			};

			faultEndsAtMs = nowMs + fleet.random.between(200, 5000);
		});
		const max = maxInSecond(fleet.sendsMs);
		t.ok(max <= boundCount, `${max} requests in a second, seed ${seed}`);
	}
});
