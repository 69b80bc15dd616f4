import dgram from 'node:dgram';
import type {Buffer} from 'node:buffer';
import type {EngineReport} from '@bitternpaddle/coordination';
import {parseAddress} from '@bitternpaddle/transport';
import {z} from 'zod';

/** An agent's word on the engine beside it; one datagram, and the next one follows within a tenth of a second. */
export type LoadReport = {
	/** Start of the agent. */
	readonly epoch: string;
	readonly sequence: number;
	readonly endpointAddress: string;
	/** By the agent's clock. */
	readonly sentAtMs: number;
	/** `null`: the engine cannot be reached. */
	readonly report: EngineReport | null;
};

/** On the wire without names: these are most of the messages between hosts. */
const datagramSchema = z.tuple([
	z.string(),
	z.number(),
	z.string(),
	z.number(),
	z.tuple([z.number(), z.number(), z.number(), z.number(), z.boolean(), z.boolean(), z.number().nullable(), z.number().nullable()]).nullable(),
]);

export const encodeLoadReport = ({epoch, sequence, endpointAddress, sentAtMs, report}: LoadReport): string => {
	const fields: z.infer<typeof datagramSchema> = [epoch, sequence, endpointAddress, sentAtMs, report === null
		? null
		: [report.running, report.queued, report.usedTokens, report.pace, report.isBusy, report.isStrained, report.version, report.readyInMs]];
	return JSON.stringify(fields);
};

export const decodeLoadReport = (data: Buffer): LoadReport | null => {
	const parsed = datagramSchema.safeParse(parseJson(data));
	if (!parsed.success) {
		return null;
	}

	const [epoch, sequence, endpointAddress, sentAtMs, fields] = parsed.data;
	if (fields === null) {
		return {
			epoch, sequence, endpointAddress, sentAtMs, report: null,
		};
	}

	const [running, queued, usedTokens, pace, isBusy, isStrained, version, readyInMs] = fields;
	return {
		epoch, sequence, endpointAddress, sentAtMs, report: {
			running, queued, usedTokens, pace, isBusy, isStrained, version, readyInMs,
		},
	};
};

export type LoadListenerOptions = {
	readonly listen: string;
	onReport(heard: LoadReport): void;
	onError(error: Error): void;
};

/** Hears the agents' load reports; late ones are dropped. */
export const createLoadListener = async ({listen, onReport, onError}: LoadListenerOptions): Promise<{close(): void}> => {
	const newest = new Map<string, {epoch: string; sequence: number}>();
	const socket = dgram.createSocket('udp4');

	const hear = (data: Buffer): void => {
		const heard = decodeLoadReport(data);
		if (heard === null) {
			onError(new Error('a datagram is no load report'));
			return;
		}

		const {endpointAddress, epoch, sequence} = heard;
		const before = newest.get(endpointAddress);
		if (before?.epoch === epoch && before.sequence >= sequence) {
			return;
		}

		newest.set(endpointAddress, {epoch, sequence});
		onReport(heard);
	};

	socket.on('message', hear);
	socket.on('error', onError);
	const {host, port} = parseAddress(listen);
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(port, host, resolve);
	});
	return {
		close() {
			socket.close();
		},
	};
};

const parseJson = (data: Buffer): unknown => {
	try {
		return JSON.parse(data.toString());
	} catch {
		return null;
	}
};
