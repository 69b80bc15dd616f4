import {idempotencyKeyHeader, requestIdHeader} from '@bitternpaddle/protocol';
import {
	idempotencyKeySchema, mayHaveRun, notRun, requestIdSchema, serviceIdSchema, sha256, teamIdSchema, type Change, type CommandResult,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import type {ConfigurationClient} from '../host/configuration-client.js';
import {RefusedError, type Call} from './call.js';
import type {CallOutcome} from './attempts.js';
import {sendRefusal, type Relay} from './relay.js';

export type ServeOnceOptions = {
	readonly configuration: ConfigurationClient;
	readonly relay: Relay;
	attempt(call: Call): Promise<CallOutcome>;
};

/** Larger answers are passed on but not kept for resends. */
const storedAnswerLimitBytes = 65_536;

/** Runs calls that may not be repeated: first the claim, then the call, then its outcome. */
export const createServeOnce = ({configuration, relay, attempt}: ServeOnceOptions) => {
	const propose = async (change: Change): Promise<CommandResult> => configuration.propose({commandId: null, ifRevision: null, change});

	const sendHeldClaim = (call: Call, result: CommandResult): void => {
		if (result.type !== 'claimHeld') {
			throw new Error(`unexpected answer to a claim: ${result.type}`);
		}

		match(result.state)
			.with({type: 'ran'}, ({status, contentType, body}) => {
				call.response.writeHead(status, {'content-type': contentType, [requestIdHeader]: call.requestId, 'x-bitternpaddle-replayed': 'true'});
				call.response.end(body, 'base64');
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

	return async (call: Call, serviceId: string): Promise<void> => {
		if (call.idempotencyKey === null) {
			throw new RefusedError({status: 400, type: 'invalid_request', message: `${serviceId} needs an ${idempotencyKeyHeader} header: its calls may not be repeated`});
		}

		const claim = {
			teamId: teamIdSchema.parse(call.teamId), serviceId: serviceIdSchema.parse(serviceId),
			key: idempotencyKeySchema.parse(call.idempotencyKey), requestId: requestIdSchema.parse(call.requestId),
		};
		const claimed = await propose({
			type: 'claim', ...claim, bodyDigest: sha256(`${call.method} ${call.path}\n${call.body.toString('base64')}`), atMs: Date.now(),
		}).catch((error: unknown) => error as Error);
		if (claimed instanceof Error) {
			relay.sendVerdict(call, notRun(`the call could not be claimed: ${claimed.message}`));
			return;
		}

		if (claimed.type !== 'claimed') {
			sendHeldClaim(call, claimed);
			return;
		}

		const outcome = await attempt(call);
		if (outcome.type === 'verdict') {
			await propose({type: 'concludeClaim', ...claim, outcome: {type: outcome.verdict.type === 'notRun' ? 'notRun' : 'mayHaveRun'}});
			relay.sendVerdict(call, outcome.verdict);
			return;
		}

		const {answer} = outcome;
		const body = await relay.collect(call, answer);
		if (body === null || body.length > storedAnswerLimitBytes) {
			await propose({type: 'concludeClaim', ...claim, outcome: {type: 'mayHaveRun'}});
		} else {
			await propose({
				type: 'concludeClaim', ...claim,
				outcome: {
					type: 'ran', status: answer.statusCode!, contentType: answer.headers['content-type'] ?? 'application/json', body: body.toString('base64'),
				},
			});
		}

		if (body === null) {
			relay.sendVerdict(call, mayHaveRun('the answer was cut'));
			return;
		}

		relay.sendCollected(call, answer, body);
	};
};
