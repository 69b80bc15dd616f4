import {Buffer} from 'node:buffer';
import {createEventSplitter} from '@bitternpaddle/gateway';

const eventBytes = [100, 10_000, 1_000_000];
const partBytes = [1, 1000, 16_000];
/** Bytes of events for each figure. */
const totalBytes = 4_000_000;

const eventOf = (sizeBytes: number): Buffer => Buffer.from(`data: ${'x'.repeat(sizeBytes - 8)}\n\n`);

/** Time in ms for a megabyte of events of a size that arrive in parts of a size. */
const measure = (event: Buffer, sizeBytes: number): number => {
	const splitter = createEventSplitter();
	const count = Math.ceil(totalBytes / event.length);
	const startedAtMs = performance.now();
	for (let index = 0; index < count; index++) {
		for (let offset = 0; offset < event.length; offset += sizeBytes) {
			splitter.push(event.subarray(offset, offset + sizeBytes));
		}
	}

	return (performance.now() - startedAtMs) / (count * event.length / 1_000_000);
};

/** Measures what it takes to split streams into events, by the sizes of the events and of the parts in which they arrive. */
export const measureEvents = async (): Promise<Record<string, unknown>> => {
	const msPerMegabyte: Record<string, number> = {};
	for (const sizeBytes of eventBytes) {
		const event = eventOf(sizeBytes);
		for (const part of partBytes) {
			measure(event, part);
			msPerMegabyte[`events of ${sizeBytes} bytes in parts of ${part}`] = Number(measure(event, part).toFixed(2));
		}
	}

	return {bench: 'events', msPerMegabyte};
};
