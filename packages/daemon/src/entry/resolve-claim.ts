import type {Buffer} from 'node:buffer';
import type {ClaimAnswer, FoundOutcome} from '@bitternpaddle/coordination';
import type {Catalog, ClaimPlace} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {recover, type AttemptAnswer} from './dispatch.js';

export type FindOutcomeOptions = {
	/** Where the claim's request was sent; `null` if it was sent nowhere. */
	readonly place: ClaimPlace | null;
	readonly requestId: string;
	readonly suspectMs: number;
	readonly catalog: Catalog;
	readonly signal: AbortSignal;
	collect(answer: AttemptAnswer): Promise<Buffer | null>;
};

/** An answer in the format in which the log stores it. */
export const claimAnswerOf = ({status, headers}: AttemptAnswer, body: Buffer): ClaimAnswer => ({
	status, contentType: headers['content-type'] ?? 'application/json', body: body.toString('base64'), sizeBytes: body.length,
});

/** Queries the request gate to which a claimed call was sent for its outcome; bars the call there if it has not started. */
export const findOutcome = async (options: FindOutcomeOptions): Promise<FoundOutcome> => {
	const {place, requestId, suspectMs, catalog, signal, collect} = options;
	if (place === null) {
		return {type: 'notRun'};
	}

	const announced = catalog.hosts[place.hostId]?.announcement;
	const recovered = await recover({
		place, requestId, suspectMs, signal,
	});
	return match(recovered)
		.returnType<Promise<FoundOutcome> | FoundOutcome>()
		.with({type: 'notRun'}, {type: 'running'}, found => found)
		.with({type: 'unreachable'}, () => ({type: 'lost', isForGood: announced?.incarnation !== place.incarnation}))
		.with({type: 'unknown'}, () => ({type: 'lost', isForGood: true}))
		.with({type: 'answer'}, async ({answer}) => {
			const body = await collect(answer);
			return body === null ? {type: 'lost', isForGood: true} : {type: 'ran', answer: claimAnswerOf(answer, body)};
		})
		.exhaustive();
};
