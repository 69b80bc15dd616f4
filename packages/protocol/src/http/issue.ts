import * as z from 'zod';

/**
 * Sequence number of a request among those of one sending process. From it, a
 * request gate determines whether it may have discarded its record of a request,
 * without comparing clocks.
 */
export const issueSchema = z.object({sender: z.string().min(1).max(128), sequence: z.number().int().nonnegative()});
export type Issue = z.infer<typeof issueSchema>;

export const formatIssue = ({sender, sequence}: Issue): string => `${sender}/${sequence}`;

export const parseIssue = (text: string): Issue | null => {
	const separatorIndex = text.lastIndexOf('/');
	const parsed = issueSchema.safeParse({sender: text.slice(0, separatorIndex), sequence: Number(text.slice(separatorIndex + 1))});
	return separatorIndex > 0 && parsed.success ? parsed.data : null;
};
