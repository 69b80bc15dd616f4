import type {Buffer} from 'node:buffer';
import type {EngineReport, WeightsProof} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** How a report was delivered, and how to determine its age. */
export type ReportDelivery
	/** Sent by the agent itself; `sentAtMs` is by the agent's clock. */
	= | {readonly type: 'direct'; readonly sentAtMs: number}
		/** Relayed by an entry of the endpoint's zone, with the age of the report and the current delay of the path from the agent to that entry, above the lowest delay observed. */
		| {readonly type: 'relayed'; readonly ageMs: number; readonly delayMs: number};

/** An agent's report on the engine on its host; agents send one at least every 200 ms. */
export type LoadReport = {
	/** Distinguishes starts of the agent. */
	readonly epoch: number;
	readonly sequence: number;
	readonly endpointAddress: string;
	/** `null` if the engine cannot be reached. */
	readonly report: EngineReport | null;
	readonly delivery: ReportDelivery;
};

/**
 * Content of a datagram. `near`: one report, from an agent to entries of its zone that
 * relay it. `far`: the same, to all other entries. `digest`: the reports of a zone, from
 * one of its entries to an entry of another zone. `passed`: reports of the own zone or
 * a digest of another zone, from the entry that received them to the others of its zone.
 */
export type LoadMessage = {readonly kind: 'near' | 'far' | 'digest' | 'passed'; readonly reports: readonly LoadReport[]};

const kinds = ['near', 'far', 'digest', 'passed'] as const;
const deliveryCodes = {direct: 0, relayed: 1} as const;
/** The pace is encoded as an integer number of hundredths, because a float takes nine bytes. */
const paceScale = 100;

/** `null` and numbers are what agents without proofs send: no version, or one that was not shown to be whole. */
const proofCodes = {unknown: false, none: null} as const;

/** Encoded without field names to save bytes; most messages between hosts are reports. */
const proofSchema = z.union([z.literal(proofCodes.unknown), z.null(), z.number(), z.tuple([z.number(), z.string().nullable(), z.number().nullable()])]);
const reportSchema = z.tuple([z.number(), z.number(), z.number(), z.boolean(), z.boolean(), proofSchema, z.number().nullable()]);
const itemSchema = z.tuple([z.string(), z.number(), z.number(), z.union([z.literal(deliveryCodes.direct), z.literal(deliveryCodes.relayed)]), z.number(), z.number(), reportSchema.nullable()]);
const messageSchema = z.tuple([z.number().int().min(0).max(kinds.length - 1), z.array(itemSchema)]);
type Item = z.infer<typeof itemSchema>;
type ProofItem = z.infer<typeof proofSchema>;

const encodeProof = (proof: WeightsProof): ProofItem => proof.type === 'whole' ? [proof.version, proof.engineId, proof.startedAtMs] : proofCodes[proof.type];

const decodeProof = (item: ProofItem): WeightsProof => {
	if (item === proofCodes.unknown) {
		return {type: 'unknown'};
	}

	if (item === proofCodes.none || typeof item === 'number') {
		return {type: 'none'};
	}

	const [version, engineId, startedAtMs] = item;
	return {
		type: 'whole', version, engineId, startedAtMs,
	};
};

const encodeItem = ({epoch, sequence, endpointAddress, report, delivery}: LoadReport): Item => [
	endpointAddress,
	epoch,
	sequence,
	...(delivery.type === 'direct' ? [deliveryCodes.direct, Math.round(delivery.sentAtMs), 0] as const : [deliveryCodes.relayed, Math.round(delivery.ageMs), Math.round(delivery.delayMs)] as const),
	report === null
		? null
		: [report.running, report.queued, Math.round(report.pace * paceScale), report.isBusy, report.isStrained, encodeProof(report.weights), report.readyInMs],
];

const decodeDelivery = (deliveryCode: Item[3], timeMs: number, delayMs: number): ReportDelivery => deliveryCode === deliveryCodes.direct
	? {type: 'direct', sentAtMs: timeMs}
	: {type: 'relayed', ageMs: timeMs, delayMs};

const decodeReport = ([running, queued, pace, isBusy, isStrained, proof, readyInMs]: NonNullable<Item[6]>): EngineReport => ({
	running, queued, pace: pace / paceScale, isBusy, isStrained, weights: decodeProof(proof), readyInMs,
});

const decodeItem = ([endpointAddress, epoch, sequence, deliveryCode, timeMs, delayMs, fields]: Item): LoadReport => ({
	endpointAddress, epoch, sequence, delivery: decodeDelivery(deliveryCode, timeMs, delayMs), report: fields === null ? null : decodeReport(fields),
});

export const encodeLoadMessage = ({kind, reports}: LoadMessage): Uint8Array => encode([kinds.indexOf(kind), reports.map(report => encodeItem(report))]);

/** Returns `null` if the datagram is of another kind or malformed. */
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
