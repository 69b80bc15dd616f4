import {once} from 'node:events';
import net from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {streamOne, withStreamPath} from './capacity/measure-stream.js';
import {readMemory} from './capacity/process-usage.js';

type Bounds = {readonly maxConnections: number; readonly maxBufferedBytes: number};

const defaultBounds: Bounds = {maxConnections: 1024, maxBufferedBytes: 16 * 1024 * 1024};
/** The maximum values of the settings; this benchmark does not reach them. */
const noBounds: Bounds = {maxConnections: 1_000_000, maxBufferedBytes: 1_000_000_000_000};
const rounds = 2;
const goodCallers = 8;
const tokens = 16;
const phaseMs = 8000;
const sampleIntervalMs = 200;
const floodCooldownMs = 5000;
const connectBatchSize = 100;

type Flood = {readonly name: string; readonly senders: number; readonly text: string};

const floods: readonly Flood[] = [
	{name: 'idle connections', senders: 3000, text: ''},
	{name: 'half-sent heads of 15 KB', senders: 3000, text: `POST /v1/completions HTTP/1.1\r\nhost: bench\r\nx-large: ${'a'.repeat(15_000)}`},
	{
		name: 'half-sent bodies of 900 KB', senders: 500,
		text: `POST /v1/completions HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer bench-key\r\ncontent-length: 1000000\r\n\r\n${'x'.repeat(900_000)}`,
	},
];

const openSender = async (address: string, text: string): Promise<net.Socket> => {
	const [host, port] = address.split(':') as [string, string];
	const socket = net.connect({host, port: Number(port)});
	socket.on('error', () => undefined);
	socket.resume();
	await Promise.race([once(socket, 'connect'), once(socket, 'close')]);
	socket.write(text);
	return socket;
};

const openFlood = async (address: string, {senders, text}: Flood): Promise<net.Socket[]> => {
	const sockets: net.Socket[] = [];
	while (sockets.length < senders) {
		const count = Math.min(connectBatchSize, senders - sockets.length);
		sockets.push(...await Promise.all(Array.from({length: count}, async () => openSender(address, text))));
	}

	return sockets;
};

type Callers = {readonly latenciesMs: number[]; failures: number};

const call = async (address: string, untilMs: number, callers: Callers): Promise<void> => {
	while (performance.now() < untilMs) {
		const startedMs = performance.now();
		try {
			await streamOne(address, tokens);
			callers.latenciesMs.push(performance.now() - startedMs);
		} catch {
			callers.failures++;
		}
	}
};

const percentile = (sorted: readonly number[], percent: number): number => Math.round(10 * (sorted[Math.ceil(sorted.length * percent / 100) - 1] ?? Number.NaN)) / 10;

const megabytes = (bytes: number): number => Math.round(10 * bytes / 1_048_576) / 10;

/** Runs well-behaved callers for `phaseMs` and samples the entry's private memory meanwhile. */
const measurePhase = async (name: string, pid: number, address: string): Promise<Record<string, unknown>> => {
	const callers: Callers = {latenciesMs: [], failures: 0};
	const untilMs = performance.now() + phaseMs;
	const calling = Promise.all(Array.from({length: goodCallers}, async () => call(address, untilMs, callers)));
	let peakBytes = 0;
	while (performance.now() < untilMs) {
		peakBytes = Math.max(peakBytes, (await readMemory(pid)).privateBytes);
		await delay(sampleIntervalMs);
	}

	await calling;
	const sorted = callers.latenciesMs.toSorted((a, b) => a - b);
	const phase = {
		phase: name, peakPrivateMegabytes: megabytes(peakBytes), answered: sorted.length, failures: callers.failures, p50Ms: percentile(sorted, 50), p99Ms: percentile(sorted, 99),
	};
	process.stdout.write(`${JSON.stringify(phase)}\n`);
	return phase;
};

/**
 * Measures an entry process under floods of connections: its private memory, and
 * the latencies and failures of well-behaved callers meanwhile. `--unbounded`
 * measures the same without the connection and buffer bounds.
 */
export const measureFlood = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {maxConnections, maxBufferedBytes} = flags.includes('--unbounded') ? noBounds : defaultBounds;
	const phases: Array<Record<string, unknown>> = [];
	await withStreamPath(async ({entry: {pid}, entryAddress}) => {
		await measurePhase('warm-up', pid, entryAddress);
		phases.push(await measurePhase('before', pid, entryAddress));
		for (const flood of Array.from({length: rounds}, () => floods).flat()) {
			const opening = openFlood(entryAddress, flood);
			const phase = await measurePhase(flood.name, pid, entryAddress);
			const sockets = await opening;
			phases.push({...phase, senders: flood.senders, stillOpen: sockets.filter(socket => !socket.closed).length});
			for (const socket of sockets) {
				socket.destroy();
			}

			await delay(floodCooldownMs);
		}

		phases.push(await measurePhase('after', pid, entryAddress));
	}, {'max-connections': String(maxConnections), 'max-buffered-bytes': String(maxBufferedBytes)});
	return {
		bench: 'flood', maxConnections, maxBufferedBytes, goodCallers, phaseMs, phases,
	};
};
