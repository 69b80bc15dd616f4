import * as z from 'zod';

const count = z.number().int().nonnegative();
const rates = z.record(z.string(), z.number().nonnegative());

/** One entry asks another for a part of the fleet-wide limit, or only says that it is there. */
export const entrySharesParametersSchema = z.object({
	/** Any administration token that both know: callers reach this port too. */
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
