// The manifest is nearly as long as it may be, and has changed a few times. Then machines of the
// core are replaced by empty ones, one after the other, as planned work. The leader has to send
// each newcomer the log.
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	bounds, broken, couldNotRun, delay, held, plainCall, runCase, until,
} from '../lib/deployment.mjs';

/** Makes a manifest of 3.9 MB; it may have 4,194,304 bytes. */
const routeCount = 16_000;
const maxManifestBytes = 4_194_304;
/** The manifest changes until the log would take more than a disk has with one more. */
const maxChanges = 20;
const entryBytes = 4_500_000;
const changeIntervalMs = 330;
const diskBytes = 64_000_000;
const replacementCount = 3;
const replacementIntervalMs = 18_000;
/** Ends of a process on one machine that break the rule, on at least half of the core. */
const faultEnds = 3;
const coreCount = 3;
/** Ends this soon after a disturbance on their machine don't count. */
const excusedMs = 1000;

const routeOf = index => ({
	name: `r-${index}`, host: 'hulo84.example', pathPrefix: `/xapu221/ny${index}/`, type: 'streaming', timeoutMs: 6000, targetLatencyMs: 401, priority: 1, service: 'pool', maxAttempts: 2,
	public: false, sticky: true, resumable: true, itlTargetMs: 300,
});

/** `TROUBLE=0` plays the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const recordFile = path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt');

await runCase({recordFile, isTrouble: isTroubled}, async ({record, isTrouble, deploy}) => {
	const system = await deploy({
		workerCount: 1, routes: Array.from({length: routeCount}, (_, index) => routeOf(index)), restartsCores: true, spareCount: replacementCount,
	});
	await system.ready();
	const {manifest} = system;
	const manifestBytes = JSON.stringify(manifest).length;
	if (manifestBytes > maxManifestBytes) {
		return couldNotRun;
	}

	const usedBytes = () => {
		const folder = path.join(system.folder, 'core-0');
		let sum = 0;
		for (const name of fs.readdirSync(folder)) {
			sum += fs.statSync(path.join(folder, name)).size;
		}

		return sum;
	};

	for (let index = 0; index < maxChanges && usedBytes() + entryBytes < diskBytes; index++) {
		manifest.version += 3;
		manifest.routes[index].timeoutMs = 5000 + index;
		await system.submit();
		await delay(changeIntervalMs);
	}

	await delay(bounds.stableWindowMs);
	if (system.ownEnds.length > 0) {
		record({error: 'a process of the core ended before the disturbance'});
		return couldNotRun;
	}

	const usedBytesBefore = usedBytes();
	record({manifestBytes, usedBytes: usedBytesBefore});
	if (usedBytesBefore > diskBytes) {
		return couldNotRun;
	}

	const playStartedAtMs = performance.now();
	/** When the platform started each newcomer, by its machine. */
	const startedAtMs = {};
	for (let index = 0; index < replacementCount; index++) {
		if (isTrouble) {
			// The machines 0 and 1 stay; each newcomer takes the place of the one before it.
			startedAtMs[coreCount + index] = performance.now();
			await system.replaceCore(coreCount - 1 + index);
		}

		await delay(playStartedAtMs + ((index + 1) * replacementIntervalMs) - performance.now());
	}

	const counted = system.ownEnds.filter(({machine, atMs}) => atMs - (startedAtMs[machine] ?? playStartedAtMs) > excusedMs);
	const endsByMachine = {};
	for (const {machine} of counted) {
		endsByMachine[machine] = (endsByMachine[machine] ?? 0) + 1;
	}

	const read = await until('the manifest is read back', async () => {
		for (let index = 0; index < coreCount + replacementCount; index++) {
			const {status, text} = await plainCall({address: system.control(index), path: '/v1/config', timeoutMs: 2000});
			record({operator: 'GET /v1/config', machine: index, status});
			if (status === 200) {
				return JSON.parse(text).version;
			}
		}

		return null;
	}, bounds.stableWindowMs).catch(() => null);
	const summary = {
		manifestBytes, usedBytes: usedBytesBefore, acknowledged: manifest.version, read, ownEnds: counted.length, endsByMachine,
	};
	record(summary);
	console.log(JSON.stringify(summary));
	const faultyCount = Object.values(endsByMachine).filter(count => count >= faultEnds).length;
	// Of all machines that belonged to the core in the day, also those that were replaced.
	return faultyCount >= (coreCount + replacementCount) / 2 ? broken : held;
});
