import type {HostReport} from '@bitternpaddle/protocol';
import {BrokenAnswerError, type AttemptAnswer, type AttemptOutcome} from './dispatch.js';

/** Outcomes of this entry's attempts since its start, by fleet. Control halts a rollout on the basis of these counts. */
export type FleetOutcomes = {
	/** Counts the attempt once its outcome is known. An answer is counted only at its end, since a truncated one begins like a complete one. */
	watch(fleetId: string | null, outcome: AttemptOutcome): AttemptOutcome;
	list(): NonNullable<HostReport['fleetOutcomes']>;
};

export const createFleetOutcomes = (): FleetOutcomes => {
	const counts = new Map<string, {answered: number; failed: number}>();

	const count = (fleetId: string, end: 'answered' | 'failed'): void => {
		const known = counts.get(fleetId) ?? {answered: 0, failed: 0};
		counts.set(fleetId, known);
		known[end]++;
	};

	const watchParts = async function * (fleetId: string, answer: AttemptAnswer): ReturnType<AttemptAnswer['parts']> {
		try {
			yield * answer.parts();
			count(fleetId, answer.status < 500 ? 'answered' : 'failed');
		} catch (error) {
			if (error instanceof BrokenAnswerError) {
				count(fleetId, 'failed');
			}

			throw error;
		}
	};

	return {
		watch(fleetId, outcome) {
			if (fleetId === null) {
				return outcome;
			}

			if (outcome.type === 'answer') {
				const {answer} = outcome;
				return {...outcome, answer: {...answer, parts: () => watchParts(fleetId, answer)}};
			}

			// A request that did not run is retried at another endpoint; control detects a lost endpoint itself.
			if (outcome.verdict.type === 'mayHaveRun') {
				count(fleetId, 'failed');
			}

			return outcome;
		},
		list: () => [...counts].map(([fleetId, known]) => ({fleetId, ...known})),
	};
};
