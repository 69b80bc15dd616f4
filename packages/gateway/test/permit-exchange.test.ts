import t from 'tap';
import {createPermitFleet, type PermitEntry, type PermitFleet} from './support/permit-fleet.js';

const windowMs = 4000;

const maxInWindow = (timesMs: readonly number[]): number => Math.max(0, ...timesMs.map(startMs => timesMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length));

const allowedIn = (perSecond: number): number => (1.5 * perSecond * windowMs / 1000) + 5;

const usedShare = ({sends}: PermitFleet, perSecond: number, fromMs: number, untilMs: number): number => sends.filter(({atMs}) => atMs >= fromMs && atMs < untilMs).length * 1000
	/ (perSecond * (untilMs - fromMs));

const setDemand = (fleet: PermitFleet, demandPerSecond: number): void => {
	for (const entry of fleet.entries) {
		entry.demandPerSecond = demandPerSecond;
	}
};

for (const perSecond of [0.5, 1.6, 10, 100]) {
	t.test(`twenty entries use a limit of ${perSecond} a second and do not exceed it`, async t => {
		const fleet = createPermitFleet({seed: 1, entryCount: 20, perSecond: () => perSecond});
		setDemand(fleet, Math.max(2, perSecond / 4));
		fleet.runUntil(40_000);
		const max = maxInWindow(fleet.sends.map(({atMs}) => atMs));
		const used = usedShare(fleet, perSecond, 5000, 40_000);
		t.ok(max <= allowedIn(perSecond), `${max} requests in ${windowMs} ms`);
		t.ok(used > 0.8 && used < 1.1, `${used.toFixed(2)} of the limit is used`);
	});
}

t.test('an entry that receives all traffic uses the limit, also when traffic moves to another entry', async t => {
	const perSecond = 1.6;
	const fleet = createPermitFleet({seed: 2, entryCount: 20, perSecond: () => perSecond});
	fleet.runUntil(60_000, nowMs => {
		const turn = Math.floor(nowMs / 1000) % fleet.entries.length;
		for (const [index, entry] of fleet.entries.entries()) {
			entry.demandPerSecond = index === turn ? 20 : 0;
		}
	});
	const used = usedShare(fleet, perSecond, 0, 60_000);
	t.ok(maxInWindow(fleet.sends.map(({atMs}) => atMs)) <= allowedIn(perSecond));
	t.ok(used > 0.5, `${used.toFixed(2)} of the limit is used`);
});

t.test('a limit that falls to a third and rises again is applied', async t => {
	const fleet = createPermitFleet({seed: 3, entryCount: 8, perSecond: nowMs => nowMs >= 10_000 && nowMs < 20_000 ? 2 : 6});
	setDemand(fleet, 10);
	fleet.runUntil(30_000);
	const low = fleet.sends.map(({atMs}) => atMs).filter(atMs => atMs >= 10_500 && atMs < 20_000);
	t.ok(maxInWindow(low) <= allowedIn(2));
	t.ok(usedShare(fleet, 6, 21_000, 30_000) > 0.8);
});

t.test('an endpoint with a limit of zero is still probed', async t => {
	const fleet = createPermitFleet({seed: 4, entryCount: 8, perSecond: () => 0});
	setDemand(fleet, 10);
	fleet.runUntil(60_000);
	t.ok(maxInWindow(fleet.sends.map(({atMs}) => atMs)) <= 2);
	t.ok(fleet.sends.length > 5);
});

// Guards against stalling or exceeding the limit between the failure of an issuer and its replacement.
t.test('requests are sent within the limit while the issuer is down and after it is replaced', async t => {
	const perSecond = 1.6;
	for (let seed = 1; seed <= 10; seed++) {
		const fleet = createPermitFleet({
			seed, entryCount: 20, perSecond: () => perSecond, lossShare: 0.02,
		});
		setDemand(fleet, 3);
		const issuer = fleet.entries.find(({address}) => address === fleet.issuerAddress())!;
		fleet.runUntil(10_000);
		issuer.isRunning = false;
		fleet.runUntil(30_000);
		const used = usedShare(fleet, perSecond, 12_000, 30_000);
		for (const entry of fleet.entries) {
			entry.peers = entry.peers!.filter(address => address !== issuer.address);
			fleet.runUntil(fleet.nowMs() + 50);
		}

		fleet.runUntil(50_000);
		const max = maxInWindow(fleet.sends.map(({atMs}) => atMs));
		t.ok(max <= allowedIn(perSecond), `${max} requests in ${windowMs} ms, seed ${seed}`);
		t.ok(used > 0.2 && used < 0.8, `${used.toFixed(2)} of the limit is used without an issuer, seed ${seed}`);
		t.ok(usedShare(fleet, perSecond, 33_000, 50_000) > 0.8, `seed ${seed}`);
	}
});

t.test('entries that do not know each other do not each send the whole limit', async t => {
	const perSecond = 40;
	for (let seed = 1; seed <= 5; seed++) {
		const fleet = createPermitFleet({seed, entryCount: 7, perSecond: () => perSecond});
		setDemand(fleet, perSecond);
		fleet.runUntil(10_000);
		const lists = fleet.entries.map(({peers}) => peers);
		for (const entry of fleet.entries) {
			fleet.restart(entry);
			entry.peers = null;
		}

		fleet.runUntil(12_000);
		for (const [index, entry] of fleet.entries.entries()) {
			entry.peers = lists[index]!;
		}

		fleet.runUntil(20_000);
		const max = maxInWindow(fleet.sends.map(({atMs}) => atMs));
		t.ok(max <= allowedIn(perSecond), `${max} requests in ${windowMs} ms, ${allowedIn(perSecond)} allowed, seed ${seed}`);
		t.ok(usedShare(fleet, perSecond, 14_000, 20_000) > 0.8, `seed ${seed}`);
	}
});

type Fault = 'restart' | 'suspend' | 'cut';

const beginFault = (entry: PermitEntry, fault: Fault): void => {
	if (fault === 'cut') {
		entry.isPartitioned = true;
	} else {
		entry.isRunning = false;
	}
};

const endFault = (fleet: PermitFleet, entry: PermitEntry, fault: Fault): void => {
	switch (fault) {
		case 'restart': {
			fleet.restart(entry);
			break;
		}

		case 'suspend': {
			entry.isRunning = true;
			break;
		}

		case 'cut': {
			entry.isPartitioned = false;
			break;
		}
	}
};

const setListed = (fleet: PermitFleet, entry: PermitEntry, isListed: boolean): void => {
	for (const other of fleet.entries) {
		if (other !== entry) {
			other.peers = other.peers!.filter(address => address !== entry.address);
			if (isListed) {
				other.peers.push(entry.address);
			}
		}
	}
};

/** Delays until the other entries remove an unreachable entry from their peers, and add it again after it recovers. */
const rosterDelayMs = {removed: 2500, restored: 500} as const;

type FaultEvent = {readonly atMs: number; run(): void};

/** Faults of different entries may overlap; those of one entry do not. */
const drawFaults = (fleet: PermitFleet): FaultEvent[] => {
	const {random, entries} = fleet;
	const events: FaultEvent[] = [];
	const nextFaultAtMs = new Map<PermitEntry, number>();
	for (let atMs = 2000; atMs < 50_000; atMs += random.between(1000, 4000)) {
		const entry = entries[random.between(0, entries.length - 1)]!;
		const fault = (['restart', 'suspend', 'cut'] as const)[random.between(0, 2)]!;
		const endMs = atMs + random.between(200, 5000);
		if (atMs < (nextFaultAtMs.get(entry) ?? 0)) {
			continue;
		}

		nextFaultAtMs.set(entry, endMs + 2000);
		const at = (eventMs: number, run: () => void): void => {
			events.push({atMs: eventMs, run});
		};

		at(atMs, () => {
			beginFault(entry, fault);
		});
		at(endMs, () => {
			endFault(fleet, entry, fault);
		});
		if (endMs - atMs > rosterDelayMs.removed) {
			at(atMs + rosterDelayMs.removed, () => {
				setListed(fleet, entry, false);
			});
			at(endMs + rosterDelayMs.restored, () => {
				setListed(fleet, entry, true);
			});
		}
	}

	return events.toSorted((a, b) => a.atMs - b.atMs);
};

// Guards against exceeding the limit under overlapping restarts, suspensions and network partitions, including the issuer's, with datagram loss and moving demand.
t.test('all entries together stay within the limit under random schedules of faults', async t => {
	const shares: number[] = [];
	for (let seed = 1; seed <= 60; seed++) {
		const perSecond = [0.5, 1.6, 2, 5, 20][seed % 5]!;
		const fleet = createPermitFleet({
			seed, entryCount: [3, 8, 20][seed % 3]!, perSecond: () => perSecond, lossShare: 0.03,
		});
		const events = drawFaults(fleet);
		fleet.runUntil(60_000, nowMs => {
			while (events.length > 0 && events[0]!.atMs <= nowMs) {
				events.shift()!.run();
			}

			if (nowMs % 1000 === 0) {
				for (const entry of fleet.entries) {
					entry.demandPerSecond = fleet.random.between(0, 3) === 0 ? Math.max(10, 2 * perSecond) : 1;
				}
			}
		});
		const max = maxInWindow(fleet.sends.map(({atMs}) => atMs));
		t.ok(max <= allowedIn(perSecond), `${max} requests in ${windowMs} ms, ${allowedIn(perSecond)} allowed, seed ${seed}`);
		shares.push(usedShare(fleet, perSecond, 2000, 60_000));
	}

	// The share of the limit that two of three entries use without an issuer.
	t.ok(Math.min(...shares) > 1 / 3, `${Math.min(...shares).toFixed(2)} of the limit is used in the worst case`);
});
