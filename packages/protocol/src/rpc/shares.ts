import * as z from 'zod';

const count = z.number().int().nonnegative();
const rates = z.record(z.string(), z.number().nonnegative());

/** Requests a share of the fleet-wide limit from another entry, or only announces the sender. */
export const entrySharesParametersSchema = z.object({
	/** An administration token known to both entries, since callers can reach this port too. */
	token: z.string(),
	request: z.object({
		entryId: z.string(),
		incarnation: count,
		number: count,
		taken: count,
		wants: rates,
	}),
});

export const entrySharesAnswerSchema = z.object({
	incarnation: count,
	number: count,
	isCounted: z.boolean(),
	entryIds: z.array(z.string()).max(1024),
	waitMs: z.number().nonnegative(),
	loans: rates,
});
