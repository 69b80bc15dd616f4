import type http from 'node:http';
import {adapterHeader, requestIdHeader, versionHeader} from '@bitternpaddle/protocol';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import * as z from 'zod';
import type {CallOutcome, History} from './events.js';

export type CallTarget
	= | {readonly type: 'model'; readonly modelId: string; readonly isStream: boolean; readonly maxTokens: number}
	/** Caller retries of one booking share their key and body. */
		| {readonly type: 'service'; readonly serviceId: string; readonly key: string};

export type RecordCallOptions = {
	readonly history: History;
	readonly callId: string;
	readonly entryId: string;
	/** The address of the entry. */
	readonly address: string;
	/** The team's key. */
	readonly token: string;
	readonly target: CallTarget;
	/** A call that has not ended after this time counts as unanswered. @default 10000 */
	readonly callTimeoutMs?: number;
};

const errorSchema = z.object({error: z.object({type: z.string(), requestId: z.string().nullable().optional()})});
const completionSchema = z.object({choices: z.array(z.object({message: z.object({content: z.string()})})).min(1)});
const bookingSchema = z.object({key: z.string(), done: z.literal(true)});

type RawAnswer = {readonly status: number; readonly requestId: string; readonly versionId: string | null; readonly text: string};

/** Sends one request as a caller would, and records what the caller can observe of it. */
export const recordCall = async (options: RecordCallOptions): Promise<CallOutcome> => {
	const {history, callId, entryId, target} = options;
	history.record({
		type: 'callStarted', callId, entryId, echo: target.type === 'model' ? `echo ${callId}` : target.key, key: target.type === 'service' ? target.key : null,
	});
	const outcome = await sendCall(options);
	history.record({type: 'callEnded', callId, outcome});
	return outcome;
};

const sendCall = async (options: RecordCallOptions): Promise<CallOutcome> => {
	const {callTimeoutMs = 10_000, target} = options;
	const timeout = new AbortController();
	const timer = setTimeout(() => {
		timeout.abort();
	}, callTimeoutMs);
	try {
		return classify(await fetchAnswer(options, timeout.signal), target);
	} catch {
		return {type: timeout.signal.aborted ? 'noAnswer' : 'cut'};
	} finally {
		clearTimeout(timer);
	}
};

const fetchAnswer = async ({address, token, callId, target, callTimeoutMs = 10_000}: RecordCallOptions, signal: AbortSignal): Promise<RawAnswer> => {
	const shared = {
		address, method: 'POST', agent: false, idleTimeoutMs: callTimeoutMs * 2, signal,
	} as const;
	const headers = {'content-type': 'application/json', authorization: `Bearer ${token}`};
	const response = target.type === 'model'
		? await sendHttp({
			...shared, path: '/v1/chat/completions', headers, body: JSON.stringify({
				model: target.modelId, stream: target.isStream, max_tokens: target.maxTokens, messages: [{role: 'user', content: callId}],
			}),
		})
		: await sendHttp({
			...shared, path: `/services/${target.serviceId}/bookings`, headers: {...headers, 'idempotency-key': target.key}, body: JSON.stringify({booking: target.key}),
		});
	const text = (await readBody(response)).toString();
	return {
		status: response.statusCode!, text, requestId: String(response.headers[requestIdHeader] ?? ''),
		versionId: versionTagOf(response.headers),
	};
};

/** The origin that the answer is tagged with: the adapter with its base, or the version. */
const versionTagOf = (headers: http.IncomingHttpHeaders): string | null => {
	const tag = headers[adapterHeader] ?? headers[versionHeader];
	return tag === undefined ? null : String(tag);
};

const classify = (raw: RawAnswer, target: CallTarget): CallOutcome => {
	if (raw.status !== 200) {
		return classifyError(raw);
	}

	if (target.type === 'service') {
		return classifyBooking(raw);
	}

	return target.isStream ? classifyStream(raw) : classifyCompletion(raw);
};

const classifyError = ({status, text}: RawAnswer): CallOutcome => {
	const parsed = errorSchema.safeParse(parseJson(text));
	const type = parsed.data?.error.type;
	const requestId = parsed.data?.error.requestId ?? null;
	if (type === 'not_run') {
		return {type: 'notRun', requestId};
	}

	return type === 'may_have_run' ? {type: 'mayHaveRun', requestId} : {type: 'refused', status};
};

const digestsIn = (text: string): string[] => [...text.matchAll(/"system_fingerprint":"(sha256:[\da-f]+(?:\+sha256:[\da-f]+)?)"/gv)].map(found => found[1]!);

const classifyBooking = ({text, requestId}: RawAnswer): CallOutcome => {
	const parsed = bookingSchema.safeParse(parseJson(text));
	return {
		type: 'answered', requestId, versionId: null, isComplete: parsed.success, echo: parsed.data?.key ?? '', digests: [],
	};
};

const classifyCompletion = ({text, requestId, versionId}: RawAnswer): CallOutcome => {
	const parsed = completionSchema.safeParse(parseJson(text));
	return {
		type: 'answered', requestId, versionId, isComplete: parsed.success, echo: parsed.data?.choices[0]!.message.content ?? '', digests: digestsIn(text),
	};
};

const classifyStream = ({text, requestId, versionId}: RawAnswer): CallOutcome => ({
	type: 'answered', requestId, versionId, isComplete: text.endsWith('data: [DONE]\n\n'), echo: /"content":"(echo [^"]*)"/v.exec(text)?.[1] ?? '', digests: digestsIn(text),
});

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return null;
	}
};
