import * as z from 'zod';

/** What the rows of an answer must fulfil. */
export const conditionSchema = z.object({
	field: z.string(),
	operator: z.enum(['=', '!=', '<', '<=', '>', '>=']),
	value: z.string(),
});
export type Condition = z.infer<typeof conditionSchema>;
