import type {AnswerStage} from './broken-attempts.js';

/** What speaks for and against a request that was at several endpoints when they ended. */
export type SuspectEvidence = {
	/** Ends that it was at, without those that are put down to another request. */
	readonly ends: number;
	/** All unexplained ends of that time, its own among them. */
	readonly endsAround: number;
	/** No other request was at as many. */
	readonly leads: boolean;
	/** How far its answer had come, if that was the same each time, as it is with a request that ends what runs it; `null` if not. */
	readonly commonStage: AnswerStage | null;
};

/**
 * Whether the ends are a request's doing, and not its bad luck. Endpoints may end
 * one after the other for another reason, and patient callers repeat at the next
 * ones: such a request shares its count with others, or most ends are without it, and
 * it breaks at any stage of its answer. The less speaks for it, the more ends it takes.
 */
export const isCondemned = ({ends, endsAround, leads, commonStage}: SuspectEvidence): boolean => {
	const others = endsAround - ends;
	const alwaysBegun = commonStage === 'begun';
	return (ends >= 3 && leads && alwaysBegun && others <= 2)
		|| (ends >= 4 && leads && commonStage !== null && others <= 1)
		|| (ends >= 5 && leads && others <= ends)
		|| (ends >= 6 && alwaysBegun && others <= 3 * ends)
		|| (ends >= 8 && others <= 3 * ends);
};
