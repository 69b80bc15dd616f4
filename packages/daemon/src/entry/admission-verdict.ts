import type {AdmissionRefusal} from '@bitternpaddle/coordination';
import {notRun, type NotRun} from '@bitternpaddle/state';
import {match} from 'ts-pattern';

/** The verdict that a caller receives when admission refuses its request. */
export const verdictOf = ({reason, retryAfterMs}: AdmissionRefusal): NotRun => match(reason)
	.with('teamLimit', () => ({...notRun('the team has used up its share of the limit', retryAfterMs), isOverLimit: true}))
	.with('teamQueueFull', () => notRun('too many requests of this team wait', retryAfterMs))
	.with('targetQueueFull', () => notRun('too many requests wait', retryAfterMs))
	.with('deadline', () => notRun('the request cannot be answered by its deadline', retryAfterMs))
	.exhaustive();
