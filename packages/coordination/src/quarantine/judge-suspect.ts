import type {AnswerStage} from './broken-attempts.js';

/** Evidence for and against a request that was at several endpoints when they exited. */
export type SuspectEvidence = {
	/** Exits at which it was present, except those attributed to another request. */
	readonly ends: number;
	/** All unattributed exits in the same period, including its own. */
	readonly nearbyExits: number;
	/** Whether no other request was present at as many. */
	readonly isMostFrequent: boolean;
	/** The progress of its answer, if it was the same at each exit, as for a request that crashes its endpoints; otherwise `null`. */
	readonly commonStage: AnswerStage | null;
};

/**
 * Whether a request caused the exits, or was present by coincidence. Endpoints may
 * exit in succession for another reason, while patient callers retry at the remaining
 * ones. Such a request is present at no more exits than others, or most exits happen
 * without it, and its answer breaks at varying stages. The weaker the evidence, the
 * more exits are required.
 */
export const isCrashCause = ({ends, nearbyExits, isMostFrequent, commonStage}: SuspectEvidence): boolean => {
	const others = nearbyExits - ends;
	const isAlwaysBegun = commonStage === 'begun';
	return (ends >= 3 && isMostFrequent && isAlwaysBegun && others <= 2)
		|| (ends >= 4 && isMostFrequent && commonStage !== null && others <= 1)
		|| (ends >= 5 && isMostFrequent && others <= ends)
		|| (ends >= 6 && isAlwaysBegun && others <= 3 * ends)
		|| (ends >= 8 && others <= 3 * ends);
};
