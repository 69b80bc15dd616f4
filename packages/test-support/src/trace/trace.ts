import * as z from 'zod';

const callOutcomeSchema = z.enum(['answered', 'notRun', 'mayHaveRun', 'refused', 'cut']);

/** One line of a trace: an action and its expected outcome. */
export const traceStepSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('operator'), line: z.string(), outcome: z.enum(['accepted', 'refused']), commandId: z.string().optional(),
	}),
	/** Creates a version of published weights; `weights` is the index of the set at the origin, from 0. */
	z.object({
		type: z.literal('version'), versionId: z.string(), weights: z.number().int(), outcome: z.enum(['accepted', 'refused']),
	}),
	/** Waits until a query returns that many rows. */
	z.object({type: z.literal('await'), line: z.string(), rows: z.number().int()}),
	/** `count` concurrent calls, distributed over the entries in turn. */
	z.object({
		type: z.literal('calls'), name: z.string(), team: z.string(), modelId: z.string(), count: z.number().int().positive(), isStream: z.boolean(),
		tokens: z.number().int().positive(), outcome: callOutcomeSchema, versionId: z.string().optional(),
	}),
	/** One call that must not be repeated, through one entry. */
	z.object({
		type: z.literal('booking'), name: z.string(), team: z.string(), serviceId: z.string(), key: z.string(), entry: z.number().int(), outcome: callOutcomeSchema,
	}),
	/** The number of runs of a key so far. */
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

/** The system against which a trace is replayed; each method returns the outcome of its step. */
export type TraceTarget = {
	operator(step: StepOf<'operator'>): Promise<string>;
	version(step: StepOf<'version'>): Promise<string>;
	/** Resolves once the query returns that many rows, and rejects on a timeout. */
	await(step: StepOf<'await'>): Promise<void>;
	/** Returns a text for each call: its outcome, and the version of an answer. */
	calls(step: StepOf<'calls'>): Promise<string[]>;
	booking(step: StepOf<'booking'>): Promise<string>;
	runs(step: StepOf<'runs'>): number;
	fault(step: StepOf<'fault'>): Promise<void>;
	serviceFault(step: StepOf<'serviceFault'>): void;
};
