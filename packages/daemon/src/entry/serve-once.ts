import type {Buffer} from 'node:buffer';
import {idempotencyKeyHeader, requestIdHeader} from '@bitternpaddle/protocol';
import {
	idempotencyKeySchema, mayHaveRun, notRun, requestIdSchema, serviceIdSchema, sha256, teamIdSchema,
	type Change, type ClaimPlace, type ClaimState, type CommandResult,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {RefusedError, type Call} from './call.js';
import type {AttemptsOptions, CallOutcome} from './attempts.js';
import {sendRefusal, type Relay} from './relay.js';
import {findOutcome} from './settle-claim.js';

export type ServeOnceOptions = {
	readonly configuration: ConfigurationClient;
	readonly relay: Relay;
	/** See `Attempt.suspectMs`. */
	readonly suspectMs: number;
	attempt(call: Call, mayDispatch: AttemptsOptions['mayDispatch']): Promise<CallOutcome>;
};

type Outcome = Extract<Change, {type: 'concludeClaim'}>['outcome'];

type HeldClaim = Extract<CommandResult, {type: 'claimHeld'}>;

/** Larger answers are passed on but not kept for resends. */
const storedAnswerLimitBytes = 65_536;
const concludeTries = 3;
/** A resend that finds the claim barred takes it anew; another resend may be faster each time. */
const maxRounds = 3;

/** Runs calls that may not be repeated: first the claim, then the call, then its outcome. */
export const createServeOnce = ({configuration, relay, suspectMs, attempt}: ServeOnceOptions) => {
	const propose = async (change: Change): Promise<CommandResult> => configuration.propose({commandId: null, ifRevision: null, change});

	const nameOf = (call: Call) => ({
		teamId: teamIdSchema.parse(call.teamId), serviceId: serviceIdSchema.parse(call.target.type === 'service' ? call.target.serviceId : ''),
		key: idempotencyKeySchema.parse(call.idempotencyKey), requestId: requestIdSchema.parse(call.requestId),
	});

	const claim = async (call: Call, place: ClaimPlace | null): Promise<CommandResult> => propose({
		type: 'claim', ...nameOf(call), place, atMs: Date.now(), bodyDigest: sha256(`${call.method} ${call.path}\n${call.body.toString('base64')}`),
	});

	/**
	 * Writes the outcome down. If control cannot be reached the claim stays as
	 * it is: a resend finds the outcome at the endpoint's door, so the caller is
	 * told the truth either way.
	 */
	const conclude = async (call: Call, requestId: string, attemptId: string | null, outcome: Outcome): Promise<void> => {
		for (let number = 1; number <= concludeTries; number++) {
			try {
				await propose({
					type: 'concludeClaim', ...nameOf(call), requestId: requestIdSchema.parse(requestId), attemptId, outcome,
				});
				return;
			} catch {
				// Tried again; a second conclusion of the same attempt changes nothing.
			}
		}
	};

	const outcomeOf = (status: number, contentType: string | undefined, body: Buffer): Outcome => ({
		type: 'ran', status, contentType: contentType ?? 'application/json', body: body.length > storedAnswerLimitBytes ? null : body.toString('base64'),
	});

	const sendState = (call: Call, state: ClaimState | {readonly type: 'differentBody'}): void => {
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

	/**
	 * Another request holds the key. If it is still in progress, its entry may
	 * be dead, so the door that it went to is asked. `true`: it provably never
	 * ran, the claim is gone, and this call may take it.
	 */
	const serveHeld = async (call: Call, held: HeldClaim): Promise<boolean> => {
		const {state, place, requestId} = held;
		if (state.type !== 'inProgress') {
			sendState(call, state);
			return false;
		}

		const found = await findOutcome({
			place, requestId, suspectMs, catalog: configuration.catalog(), signal: call.abort.signal,
			collect: async answer => relay.collect(requestId, answer),
		});
		return match(found)
			.with({type: 'notRun'}, async () => {
				await conclude(call, requestId, place?.attemptId ?? null, {type: 'notRun'});
				return true;
			})
			.with({type: 'running'}, () => {
				sendState(call, {type: 'inProgress'});
				return false;
			})
			.with({type: 'ran'}, async ({status, contentType, body}) => {
				const outcome = outcomeOf(status, contentType, body);
				await conclude(call, requestId, place!.attemptId, outcome);
				sendState(call, {
					type: 'ran', status, contentType: contentType ?? 'application/json', body: body.toString('base64'),
				});
				return false;
			})
			.with({type: 'lost'}, async ({isForGood}) => {
				if (isForGood) {
					await conclude(call, requestId, place!.attemptId, {type: 'mayHaveRun'});
				}

				sendState(call, {type: 'mayHaveRun'});
				return false;
			})
			.exhaustive();
	};

	/** One try to claim and run; gives the claim that was in the way, if any. */
	const runClaimed = async (call: Call): Promise<HeldClaim | null> => {
		let held: HeldClaim | null = null;
		let refusal: string | null = null;
		let isClaimed = false;
		const mayDispatch = async (place: ClaimPlace): Promise<boolean> => {
			const result = await (isClaimed ? propose({type: 'moveClaim', ...nameOf(call), place}) : claim(call, place)).catch((error: unknown) => error as Error);
			if (result instanceof Error) {
				refusal = `the call could not be claimed: ${result.message}`;
			} else if (result.type === 'claimHeld') {
				held = result;
			} else if (result.type === 'refused') {
				refusal = result.message;
			} else {
				isClaimed = true;
				return true;
			}

			return false;
		};

		const outcome = await attempt(call, mayDispatch);
		if (outcome.type === 'stopped') {
			if (held === null) {
				relay.sendVerdict(call, notRun(refusal ?? 'the call could not be claimed'));
			}

			return held;
		}

		if (outcome.type === 'verdict') {
			return endUnanswered(call, outcome);
		}

		await finishAnswered(call, outcome);
		return null;
	};

	const endUnanswered = async (call: Call, {verdict, place}: Extract<CallOutcome, {type: 'verdict'}>): Promise<HeldClaim | null> => {
		if (place === null) {
			// No endpoint is ready, but an earlier call with this key may have an outcome.
			const result = await claim(call, null).catch(() => null);
			if (result?.type === 'claimHeld') {
				return result;
			}

			await conclude(call, call.requestId, null, {type: 'notRun'});
		} else if (verdict.type === 'notRun') {
			await conclude(call, call.requestId, place.attemptId, {type: 'notRun'});
		}

		// A claim that may have run stays in progress: a resend asks the door, which may know more by then.
		relay.sendVerdict(call, verdict);
		return null;
	};

	const finishAnswered = async (call: Call, {answer, place}: Extract<CallOutcome, {type: 'answer'}>): Promise<void> => {
		const body = await relay.collect(call.requestId, answer);
		if (body === null) {
			relay.sendVerdict(call, mayHaveRun('the answer was not whole'));
			return;
		}

		await conclude(call, call.requestId, place.attemptId, outcomeOf(answer.status, answer.headers['content-type'], body));
		relay.sendCollected(call, answer, body);
	};

	return async (caller: Call): Promise<void> => {
		if (caller.idempotencyKey === null) {
			throw new RefusedError({status: 400, type: 'invalid_request', message: `a service whose calls may not be repeated needs an ${idempotencyKeyHeader} header`});
		}

		// The caller's hanging up does not end the run: its outcome is kept for the resend.
		const call: Call = {...caller, abort: new AbortController()};
		for (let round = 1; round <= maxRounds; round++) {
			const held = await runClaimed(call);
			if (held === null || !await serveHeld(call, held)) {
				return;
			}
		}

		sendState(call, {type: 'inProgress'});
	};
};
