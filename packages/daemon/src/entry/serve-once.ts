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
import {answerOf, findOutcome} from './settle-claim.js';

export type ServeOnceOptions = {
	readonly configuration: ConfigurationClient;
	readonly relay: Relay;
	/** See `Attempt.suspectMs`. */
	readonly suspectMs: number;
	attempt(call: Call, mayDispatch: AttemptsOptions['mayDispatch']): Promise<CallOutcome>;
};

const concludeTries = 3;

/** One call on its way, and the answer of its own attempt once that is here. */
type Serving = {
	readonly call: Call;
	readonly state: ClaimedCallState;
	sendAnswer: (() => void) | null;
};

type StepEffect = Exclude<ClaimedCallEffect, {type: 'finish' | 'dispatch' | 'stop'}>;

/** Runs calls that may not be repeated: first the claim, then the call, then its outcome. */
export const createServeOnce = ({configuration, relay, suspectMs, attempt}: ServeOnceOptions) => {
	const write = async (change: Change): Promise<CommandResult> => configuration.propose({commandId: null, ifRevision: null, change});

	const propose = async (change: Change): Promise<ClaimedCallEvent> => {
		try {
			return {type: 'proposed', result: await write(change)};
		} catch (error) {
			return {type: 'proposalFailed', reason: (error as Error).message};
		}
	};

	const nameOf = (call: Call) => ({
		teamId: teamIdSchema.parse(call.teamId), serviceId: serviceIdSchema.parse(call.target.type === 'service' ? call.target.serviceId : ''),
		key: idempotencyKeySchema.parse(call.idempotencyKey), requestId: requestIdSchema.parse(call.requestId),
	});

	const conclude = async (call: Call, {requestId, attemptId, outcome}: Extract<ClaimedCallEffect, {type: 'conclude'}>): Promise<ClaimedCallEvent> => {
		for (let number = 1; number <= concludeTries; number++) {
			try {
				await write({
					type: 'concludeClaim', ...nameOf(call), requestId: requestIdSchema.parse(requestId), attemptId, outcome,
				});
				break;
			} catch {
				// Tried again; a second conclusion of the same attempt changes nothing.
			}
		}

		return {type: 'concluded'};
	};

	const carryOut = async (serving: Serving, effect: StepEffect): Promise<ClaimedCallEvent> => {
		const {call} = serving;
		return match(effect)
			.returnType<Promise<ClaimedCallEvent>>()
			.with({type: 'attempt'}, async () => ({
				type: 'attempted', end: await endOf(serving, await attempt(call, async place => mayDispatch(serving, place))),
			}))
			.with({type: 'claim'}, async ({place}) => propose({
				type: 'claim', ...nameOf(call), place, atMs: Date.now(), bodyDigest: sha256(`${call.method} ${call.path}\n${call.body.toString('base64')}`),
			}))
			.with({type: 'move'}, async ({place}) => propose({type: 'moveClaim', ...nameOf(call), place}))
			.with({type: 'settle'}, async ({place, requestId}) => ({
				type: 'found', found: await findOutcome({
					place, requestId, suspectMs, catalog: configuration.catalog(), signal: call.abort.signal,
					collect: async answer => relay.collect(requestId, answer),
				}),
			}))
			.with({type: 'conclude'}, async conclusion => conclude(call, conclusion))
			.exhaustive();
	};

	const mayDispatch = async (serving: Serving, place: ClaimPlace): Promise<boolean> => {
		const effect = stepClaimedCall(serving.state, {type: 'placed', place}) as StepEffect;
		return stepClaimedCall(serving.state, await carryOut(serving, effect)).type === 'dispatch';
	};

	const endOf = async (serving: Serving, outcome: CallOutcome): Promise<AttemptedEnd> => {
		if (outcome.type !== 'answer') {
			return outcome;
		}

		const {call} = serving;
		const {answer, place} = outcome;
		const body = await relay.collect(call.requestId, answer);
		if (body === null) {
			return {type: 'answered', place, answer: null};
		}

		serving.sendAnswer = () => {
			relay.sendCollected(call, answer, body);
		};

		return {type: 'answered', place, answer: answerOf(answer, body)};
	};

	const reply = ({call, sendAnswer}: Serving, end: ClaimedCallReply): void => {
		match(end)
			.with({type: 'verdict'}, ({verdict}) => {
				relay.sendVerdict(call, verdict);
			})
			.with({type: 'answer'}, () => {
				sendAnswer!();
			})
			.with({type: 'held'}, ({state}) => {
				sendHeld(call, state);
			})
			.exhaustive();
	};

	const sendHeld = (call: Call, state: Extract<ClaimedCallReply, {type: 'held'}>['state']): void => {
		match(state)
			.with({type: 'ran', body: null}, () => {
				sendRefusal(call.response, {status: 409, type: 'already_ran', message: 'the call with this key has run; its answer is no longer kept'});
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

	return async (caller: Call): Promise<void> => {
		if (caller.idempotencyKey === null) {
			throw new RefusedError({status: 400, type: 'invalid_request', message: `a service whose calls may not be repeated needs an ${idempotencyKeyHeader} header`});
		}

		// The caller's hanging up does not end the run: its outcome is kept for the resend.
		const call: Call = {...caller, abort: new AbortController()};
		const serving: Serving = {call, state: createClaimedCall({requestId: call.requestId}), sendAnswer: null};
		let effect = firstClaimedCallEffect;
		while (effect.type !== 'finish') {
			effect = stepClaimedCall(serving.state, await carryOut(serving, effect as StepEffect));
		}

		reply(serving, effect.reply);
	};
};
