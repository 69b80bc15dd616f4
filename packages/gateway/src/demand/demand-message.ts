import type {Buffer} from 'node:buffer';
import type {DemandFigures, DemandKey} from '@bitternpaddle/coordination';
import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';

/** The demand on one service as seen by one entry. */
export type ServiceDemandFigures = {readonly serviceName: string; readonly figures: ReadonlyMap<DemandKey, DemandFigures>};

/** Messages between entries about demand by priority. `sync`: a started entry requests it at once. */
export type DemandMessage
	= | {readonly type: 'demand'; readonly entryAddress: string; readonly services: readonly ServiceDemandFigures[]}
		| {readonly type: 'sync'; readonly entryAddress: string};

/** Tags that distinguish these datagrams from others on the same socket. */
const kinds = {demand: 'demand', sync: 'demand-sync'} as const;
const addressSchema = z.string().min(1);
/** Tenths per second, without trailing zeros; figures that are zero outside of overload come last. */
const figuresSchema = z.tuple([z.string().min(1)]).rest(z.number().int().nonnegative());
const messageSchema = z.union([
	z.tuple([z.literal(kinds.demand), addressSchema, z.array(z.tuple([z.string().min(1), z.array(figuresSchema).max(64)])).max(64)]),
	z.tuple([z.literal(kinds.sync), addressSchema]),
]);

const perSecond = 10;

const encodeFigures = ([key, {arrived, served, requestedWorkMs, servedWorkMs, lacking, refused}]: readonly [DemandKey, DemandFigures]): z.infer<typeof figuresSchema> => {
	const values = [arrived, served, requestedWorkMs, servedWorkMs, lacking, refused].map(value => Math.round(value * perSecond));
	return [key, ...values.slice(0, values.findLastIndex(value => value > 0) + 1)];
};

const decodeFigures = ([key, ...values]: z.infer<typeof figuresSchema>): [DemandKey, DemandFigures] => {
	const valueAt = (index: number): number => (values[index] ?? 0) / perSecond;
	return [key, {
		arrived: valueAt(0), served: valueAt(1), requestedWorkMs: valueAt(2), servedWorkMs: valueAt(3), lacking: valueAt(4), refused: valueAt(5),
	}];
};

export const encodeDemandMessage = (message: DemandMessage): Uint8Array => {
	switch (message.type) {
		case 'demand': {
			const services = message.services.map(({serviceName, figures}) => [serviceName, [...figures].map(group => encodeFigures(group))]);
			return encode([kinds.demand, message.entryAddress, services]);
		}

		case 'sync': {
			return encode([kinds.sync, message.entryAddress]);
		}
	}
};

const unpack = (data: Buffer): unknown => {
	try {
		return decode(data);
	} catch {
		return null;
	}
};

/** Returns `null` if the datagram is of another kind or malformed. */
export const decodeDemandMessage = (data: Buffer): DemandMessage | null => {
	const parsed = messageSchema.safeParse(unpack(data));
	if (!parsed.success) {
		return null;
	}

	const fields = parsed.data;
	if (fields[0] === kinds.sync) {
		return {type: 'sync', entryAddress: fields[1]};
	}

	return {
		type: 'demand', entryAddress: fields[1],
		services: fields[2].map(([serviceName, groups]) => ({serviceName, figures: new Map(groups.map(group => decodeFigures(group)))})),
	};
};
