import * as z from 'zod';

/** A condition that the rows of a query result must meet. */
export const conditionSchema = z.object({
	field: z.string(),
	operator: z.enum(['=', '!=', '<', '<=', '>', '>=']),
	value: z.string(),
});
export type Condition = z.infer<typeof conditionSchema>;
