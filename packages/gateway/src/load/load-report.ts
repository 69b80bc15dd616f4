import type {Buffer} from 'node:buffer';
import type {EngineReport} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** How a report came here, and what that tells of its age. */
export type ReportWay
	/** From the agent itself; `sentAtMs` is by the agent's clock. */
	= | {readonly type: 'direct'; readonly sentAtMs: number}
		/** By way of an entry of the endpoint's zone: how old it is, and how much longer than at its best the agent's way to that entry takes. */
		| {readonly type: 'relayed'; readonly ageMs: number; readonly delayMs: number};

/** An agent's word on the engine beside it; the next one follows within a fifth of a second. */
export type LoadReport = {
	/** Tells starts of the agent apart. */
	readonly epoch: number;
	readonly sequence: number;
	readonly endpointAddress: string;
	/** `null`: the engine cannot be reached. */
	readonly report: EngineReport | null;
	readonly way: ReportWay;
};

/**
 * What a datagram holds. `near`: one report, from an agent to entries of its
 * zone that pass it on. `far`: the same, to all others. `digest`: the reports of a
 * zone, from one of its entries to one of another zone. `passed`: reports of the own
 * zone or a digest of another, from the entry that heard them to those beside it.
 */
export type LoadMessage = {readonly kind: 'near' | 'far' | 'digest' | 'passed'; readonly reports: readonly LoadReport[]};

const kinds = ['near', 'far', 'digest', 'passed'] as const;
const ways = {direct: 0, relayed: 1} as const;
/** An engine's pace is told to the hundredth, as a whole number: a fraction takes nine bytes. */
const paceScale = 100;

/** Without names: these are most of the messages between hosts. */
const reportSchema = z.tuple([z.number(), z.number(), z.number(), z.boolean(), z.boolean(), z.number().nullable(), z.number().nullable()]);
const itemSchema = z.tuple([z.string(), z.number(), z.number(), z.union([z.literal(ways.direct), z.literal(ways.relayed)]), z.number(), z.number(), reportSchema.nullable()]);
const messageSchema = z.tuple([z.number().int().min(0).max(kinds.length - 1), z.array(itemSchema)]);
type Item = z.infer<typeof itemSchema>;

const encodeItem = ({epoch, sequence, endpointAddress, report, way}: LoadReport): Item => [
	endpointAddress,
	epoch,
	sequence,
	...(way.type === 'direct' ? [ways.direct, Math.round(way.sentAtMs), 0] as const : [ways.relayed, Math.round(way.ageMs), Math.round(way.delayMs)] as const),
	report === null
		? null
		: [report.running, report.queued, Math.round(report.pace * paceScale), report.isBusy, report.isStrained, report.version, report.readyInMs],
];

const decodeWay = (way: Item[3], timeMs: number, delayMs: number): ReportWay => way === ways.direct
	? {type: 'direct', sentAtMs: timeMs}
	: {type: 'relayed', ageMs: timeMs, delayMs};

const decodeReport = ([running, queued, pace, isBusy, isStrained, version, readyInMs]: NonNullable<Item[6]>): EngineReport => ({
	running, queued, pace: pace / paceScale, isBusy, isStrained, version, readyInMs,
});

const decodeItem = ([endpointAddress, epoch, sequence, way, timeMs, delayMs, fields]: Item): LoadReport => ({
	endpointAddress, epoch, sequence, way: decodeWay(way, timeMs, delayMs), report: fields === null ? null : decodeReport(fields),
});

export const encodeLoadMessage = ({kind, reports}: LoadMessage): Uint8Array => encode([kinds.indexOf(kind), reports.map(report => encodeItem(report))]);

/** `null` if the datagram is no such message. */
export const decodeLoadMessage = (data: Buffer): LoadMessage | null => {
	const parsed = messageSchema.safeParse(unpack(data));
	if (!parsed.success) {
		return null;
	}

	const [kind, items] = parsed.data;
	return {kind: kinds[kind]!, reports: items.map(item => decodeItem(item))};
};

const unpack = (data: Buffer): unknown => {
	try {
		return decode(data);
	} catch {
		return null;
	}
};
