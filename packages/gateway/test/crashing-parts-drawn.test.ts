import process from 'node:process';
import {createRandom, randomFraction} from '@bitternpaddle/coordination';
import t from 'tap';
import type {EngineBehavior, Framing} from './support/crashing-fleet.js';
import {
	assertBounds, badPart, runPartTraffic, type PartTrafficOptions,
} from './support/part-traffic.js';

/** For longer runs by hand. */
const firstSeed = Number(process.env.PART_SEED ?? 1);
const seedCount = Number(process.env.PART_SEEDS ?? 2);

const draw = (seed: number): {readonly name: string; readonly options: PartTrafficOptions} => {
	const random = createRandom(seed);
	for (let warmUp = 0; warmUp < 8; warmUp++) {
		randomFraction(random);
	}

	const pick = <Value>(values: readonly Value[]): Value => values[random.between(0, values.length - 1)]!;
	const entryCount = pick([1, 2, 8, 20]);
	const sharedCount = random.between(1, 4);
	const place = random.between(0, sharedCount - 1);
	const framing: Framing = pick(['chunks', 'length', 'connection']);
	const isPlain = randomFraction(random) < 0.3;
	const events = isPlain ? 0 : random.between(0, 2);
	const closesConnections = randomFraction(random) < 0.5;
	const afterMs = random.between(40, 120);
	const onSound: EngineBehavior = isPlain ? {type: 'plain', delayMs: 60, framing} : {type: 'stream', pauseMs: 30, framing};
	return {
		name: `${entryCount} entries, part ${place + 1} of ${sharedCount + 1}, ${isPlain ? 'plain' : `${events} events`}, ${framing}, ${closesConnections ? 'closed' : 'reset'} after ${afterMs} ms`,
		options: {
			entryCount, onSound, onBad: {
				type: 'crash', afterMs, events, framing, isPlain, closesConnections,
			},
			badParts: number => Array.from({length: sharedCount}, (_, index) => index === place ? badPart : (index === 0 ? 'first' : `theme${(number + index) % 5}`)),
		},
	};
};

for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
	const {name, options} = draw(seed);
	t.test(`seed ${seed}: ${name}`, async t => {
		assertBounds(t, await runPartTraffic(t, options));
	});
}
