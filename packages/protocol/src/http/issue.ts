import * as z from 'zod';

/**
 * Numbers the requests of one sending process. A door that has forgotten a
 * request knows by the number that it may have forgotten it; no clocks are
 * compared.
 */
export const issueSchema = z.object({sender: z.string().min(1).max(128), sequence: z.number().int().nonnegative()});
export type Issue = z.infer<typeof issueSchema>;

export const formatIssue = ({sender, sequence}: Issue): string => `${sender}/${sequence}`;

export const parseIssue = (text: string): Issue | null => {
	const position = text.lastIndexOf('/');
	const parsed = issueSchema.safeParse({sender: text.slice(0, position), sequence: Number(text.slice(position + 1))});
	return position > 0 && parsed.success ? parsed.data : null;
};
