import * as z from 'zod';

const callOutcomeSchema = z.enum(['answered', 'notRun', 'mayHaveRun', 'refused', 'cut']);

/** One line of a trace: what somebody did, and what must come of it. */
export const traceStepSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('operator'), line: z.string(), outcome: z.enum(['accepted', 'refused']), commandId: z.string().optional(),
	}),
	/** Weights become known under a version; `weights` counts the sets at the origin from 0. */
	z.object({
		type: z.literal('version'), versionId: z.string(), weights: z.number().int(), outcome: z.enum(['accepted', 'refused']),
	}),
	/** Waits until a question has that many rows. */
	z.object({type: z.literal('await'), line: z.string(), rows: z.number().int()}),
	/** `count` callers at once, spread over the entries in turn. */
	z.object({
		type: z.literal('calls'), name: z.string(), team: z.string(), modelId: z.string(), count: z.number().int().positive(), isStream: z.boolean(),
		tokens: z.number().int().positive(), outcome: callOutcomeSchema, versionId: z.string().optional(),
	}),
	/** One call that may not be repeated, through one entry. */
	z.object({
		type: z.literal('booking'), name: z.string(), team: z.string(), serviceId: z.string(), key: z.string(), entry: z.number().int(), outcome: callOutcomeSchema,
	}),
	/** How often a key has run so far. */
	z.object({type: z.literal('runs'), key: z.string(), count: z.number().int()}),
	z.object({type: z.literal('fault'), fault: z.enum(['kill', 'lose', 'stop', 'start']), nodeId: z.string()}),
	z.object({type: z.literal('serviceFault'), serviceId: z.string(), fault: z.enum(['none', 'cutAfterRun'])}),
]);
export type TraceStep = z.infer<typeof traceStepSchema>;

export const parseTrace = (text: string): TraceStep[] => text
	.split('\n')
	.filter(line => line !== '')
	.map(line => traceStepSchema.parse(JSON.parse(line)));

type StepOf<Type extends TraceStep['type']> = Extract<TraceStep, {type: Type}>;

/** The system that a trace is replayed against; each answer says what came of the step. */
export type TraceTarget = {
	operator(step: StepOf<'operator'>): Promise<string>;
	version(step: StepOf<'version'>): Promise<string>;
	/** Resolves once the question has that many rows, and rejects if it never has. */
	await(step: StepOf<'await'>): Promise<void>;
	/** One text for each call: its outcome, and for an answer the version. */
	calls(step: StepOf<'calls'>): Promise<string[]>;
	booking(step: StepOf<'booking'>): Promise<string>;
	runs(step: StepOf<'runs'>): number;
	fault(step: StepOf<'fault'>): Promise<void>;
	serviceFault(step: StepOf<'serviceFault'>): void;
};
