import {
	createClaimedCall, firstClaimedCallEffect, stepClaimedCall, type AttemptedEnd, type ClaimedCallEffect, type ClaimedCallEvent, type ClaimedCallReply, type ClaimedCallState,
} from '@bitternpaddle/coordination';
import {idempotencyKeyHeader, requestIdHeader} from '@bitternpaddle/protocol';
import {
	idempotencyKeySchema, mayHaveRun, requestIdSchema, serviceIdSchema, sha256, teamIdSchema, type Change, type ClaimPlace, type CommandResult,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {RefusedError, type Call} from './call.js';
import type {AttemptsOptions, CallOutcome} from './attempts.js';
import {sendRefusal, type Relay} from './relay.js';
import {claimAnswerOf, findOutcome} from './resolve-claim.js';

export type ServeOnceOptions = {
	readonly configuration: ConfigurationClient;
	readonly relay: Relay;
	/** See `Attempt.suspectMs`. */
	readonly suspectMs: number;
	attempt(call: Call, mayDispatch: AttemptsOptions['mayDispatch']): Promise<CallOutcome>;
};

const maxConcludeAttempts = 3;

/** One call in progress, and how to send the answer of its own attempt once there is one. */
type ServedCall = {
	readonly call: Call;
	readonly state: ClaimedCallState;
	sendAnswer: (() => void) | null;
};

type StepEffect = Exclude<ClaimedCallEffect, {type: 'finish' | 'dispatch' | 'stop'}>;

/** Runs calls that may not be repeated: first commits the claim, then runs the call, then commits its outcome. */
export const createServeOnce = ({configuration, relay, suspectMs, attempt}: ServeOnceOptions) => {
	const write = async (change: Change): Promise<CommandResult> => configuration.propose({commandId: null, ifRevision: null, change});

	const propose = async (change: Change): Promise<ClaimedCallEvent> => {
		try {
			return {type: 'proposed', result: await write(change)};
		} catch (error) {
			return {type: 'proposalFailed', reason: (error as Error).message};
		}
	};

	const claimKeyOf = (call: Call) => ({
		teamId: teamIdSchema.parse(call.teamId), serviceId: serviceIdSchema.parse(call.target.type === 'service' ? call.target.serviceId : ''),
		key: idempotencyKeySchema.parse(call.idempotencyKey), requestId: requestIdSchema.parse(call.requestId),
	});

	const conclude = async (call: Call, {requestId, attemptId, outcome}: Extract<ClaimedCallEffect, {type: 'conclude'}>): Promise<ClaimedCallEvent> => {
		for (let number = 1; number <= maxConcludeAttempts; number++) {
			try {
				await write({
					type: 'concludeClaim', ...claimKeyOf(call), requestId: requestIdSchema.parse(requestId), attemptId, outcome,
				});
				break;
			} catch {
				// Retried; concluding the same attempt twice changes nothing.
			}
		}

		return {type: 'concluded'};
	};

	const performEffect = async (served: ServedCall, effect: StepEffect): Promise<ClaimedCallEvent> => {
		const {call} = served;
		return match(effect)
			.returnType<Promise<ClaimedCallEvent>>()
			.with({type: 'attempt'}, async () => ({
				type: 'attempted', end: await attemptedEndOf(served, await attempt(call, async place => mayDispatch(served, place))),
			}))
			.with({type: 'claim'}, async ({place}) => propose({
				type: 'claim', ...claimKeyOf(call), place, atMs: Date.now(), bodyDigest: sha256(`${call.method} ${call.path}\n${call.body.toString('base64')}`),
			}))
			.with({type: 'move'}, async ({place}) => propose({type: 'moveClaim', ...claimKeyOf(call), place}))
			.with({type: 'settle'}, async ({place, requestId}) => ({
				type: 'found', found: await findOutcome({
					place, requestId, suspectMs, catalog: configuration.catalog(), signal: call.abort.signal,
					collect: async answer => relay.collect(requestId, answer),
				}),
			}))
			.with({type: 'conclude'}, async conclusion => conclude(call, conclusion))
			.exhaustive();
	};

	const mayDispatch = async (served: ServedCall, place: ClaimPlace): Promise<boolean> => {
		const effect = stepClaimedCall(served.state, {type: 'placed', place}) as StepEffect;
		return stepClaimedCall(served.state, await performEffect(served, effect)).type === 'dispatch';
	};

	const attemptedEndOf = async (served: ServedCall, outcome: CallOutcome): Promise<AttemptedEnd> => {
		if (outcome.type !== 'answer') {
			return outcome;
		}

		const {call} = served;
		const {answer, place} = outcome;
		const body = await relay.collect(call.requestId, answer);
		if (body === null) {
			return {type: 'answered', place, answer: null};
		}

		served.sendAnswer = () => {
			relay.sendCollected(call, answer, body);
		};

		return {type: 'answered', place, answer: claimAnswerOf(answer, body)};
	};

	const reply = ({call, sendAnswer}: ServedCall, end: ClaimedCallReply): void => {
		match(end)
			.with({type: 'verdict'}, ({verdict}) => {
				relay.sendVerdict(call, verdict);
			})
			.with({type: 'answer'}, () => {
				sendAnswer!();
			})
			.with({type: 'held'}, ({state}) => {
				sendExistingClaim(call, state);
			})
			.exhaustive();
	};

	const sendExistingClaim = (call: Call, state: Extract<ClaimedCallReply, {type: 'held'}>['state']): void => {
		match(state)
			.with({type: 'ran', body: null}, () => {
				sendRefusal(call.response, {status: 409, type: 'already_ran', message: 'the call with this key has run; its answer is no longer stored'});
			})
			.with({type: 'ran'}, ({status, contentType, body}) => {
				call.response.writeHead(status, {'content-type': contentType, [requestIdHeader]: call.requestId, 'x-bitternpaddle-replayed': 'true'});
				call.response.end(body!, 'base64');
			})
			.with({type: 'inProgress'}, () => {
				sendRefusal(call.response, {status: 409, type: 'conflict', message: 'a call with this key is in progress'}, {'retry-after': '1'});
			})
			.with({type: 'mayHaveRun'}, () => {
				relay.sendVerdict(call, mayHaveRun('an earlier call with this key may have run'));
			})
			.with({type: 'differentBody'}, () => {
				sendRefusal(call.response, {status: 422, type: 'invalid_request', message: 'this key was used with another request'});
			})
			.exhaustive();
	};

	return async (receivedCall: Call): Promise<void> => {
		if (receivedCall.idempotencyKey === null) {
			throw new RefusedError({status: 400, type: 'invalid_request', message: `a service whose calls may not be repeated needs an ${idempotencyKeyHeader} header`});
		}

		// The run continues if the caller disconnects; its outcome is stored for a retry with the same key.
		const call: Call = {...receivedCall, abort: new AbortController()};
		const served: ServedCall = {call, state: createClaimedCall({requestId: call.requestId}), sendAnswer: null};
		let effect = firstClaimedCallEffect;
		while (effect.type !== 'finish') {
			effect = stepClaimedCall(served.state, await performEffect(served, effect as StepEffect));
		}

		reply(served, effect.reply);
	};
};
