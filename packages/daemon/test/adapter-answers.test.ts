import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	adapterHeader, endMarkerTrailer, requestIdHeader, verdictHeader, versionHeader, type EndMarker,
} from '@bitternpaddle/protocol';
import {
	createHttpServer, createRpcServer, readBody, rpcPath,
} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import * as z from 'zod';
import {
	BrokenAnswerError, dispatch, type AttemptOutcome,
} from '@bitternpaddle/daemon';

const requestId = 'request-1';
const text = 'data: one\n\ndata: [DONE]\n\n';
const tag = `m:v1@sha256:${'1'.repeat(64)}/tone@sha256:${'2'.repeat(64)}`;
const otherBase = tag.replace('1111', '3333');
const otherAdapter = tag.replace('2222', '3333');

type Tags = {readonly head?: string; readonly marker?: string};

/** Dispatches a call for the adapter `requestedTag` to a request gate that puts the given tags into head and end marker. */
const dispatchToGate = async (t: Test, requestedTag: string | null, {head, marker: adapterTag}: Tags): Promise<AttemptOutcome> => {
	const rpc = createRpcServer();
	rpc.method('agent.settle', z.object({}), () => ({type: 'ran'}));
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			if (request.url === rpcPath) {
				await rpc.serve(request, response);
				return;
			}

			await readBody(request);
			response.writeHead(200, {
				'content-type': 'text/event-stream', [requestIdHeader]: requestId, [verdictHeader]: 'ran', [versionHeader]: 'm:v1', trailer: endMarkerTrailer,
				...(head !== undefined && {[adapterHeader]: head}),
			});
			response.write(text);
			const marker: EndMarker = {
				requestId, sizeBytes: text.length, digest: createHash('sha256').update(text).digest('hex'), versionId: 'm:v1', adapterTag,
			};
			response.addTrailers({[endMarkerTrailer]: JSON.stringify(marker)});
			response.end();
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	return dispatch({
		endpoint: {address: server.address, incarnation: 1, versionId: 'm:v1'}, requestId, attemptId: `${requestId}.1`, issue: {sender: 'entry', sequence: 1}, revision: 0,
		method: 'POST', path: '/v1/chat/completions', contentType: 'application/json', body: Buffer.from('{}'), idempotencyKey: null, isOnce: false,
		suspectMs: 1000, remainingMs: 10_000, signal: new AbortController().signal, adapterTag: requestedTag,
	});
};

const readAll = async (outcome: AttemptOutcome): Promise<string> => {
	if (outcome.type !== 'answer') {
		return outcome.verdict.type;
	}

	const parts: Buffer[] = [];
	try {
		for await (const part of outcome.answer.parts()) {
			parts.push(part);
		}
	} catch (error) {
		return error instanceof BrokenAnswerError ? 'broken' : String(error);
	}

	return Buffer.concat(parts).toString();
};

t.test('an answer with the right tags is complete', async t => {
	t.equal(await readAll(await dispatchToGate(t, tag, {head: tag, marker: tag})), text);
	t.equal(await readAll(await dispatchToGate(t, null, {})), text);
});

// An agent without adapter support, or an engine that disagrees with its agent,
// answers a request for an adapter from the base model, from another base or from
// another adapter. The wrong tag in the head must be detected before any byte
// reaches the caller, who gets the verdict that the request may have run.
t.test('an answer whose head has the wrong tag is not forwarded', async t => {
	for (const head of [undefined, otherBase, otherAdapter]) {
		t.equal(await readAll(await dispatchToGate(t, tag, {head, marker: head})), 'mayHaveRun', head ?? 'the base model alone');
	}

	t.equal(await readAll(await dispatchToGate(t, null, {head: tag, marker: tag})), 'mayHaveRun', 'an adapter that was not requested');
});

// The head names the right adapter, but the end marker names another: the adapter
// was replaced during the answer. The answer must not be accepted as complete.
t.test('an answer whose end marker has the wrong tag is broken', async t => {
	for (const marker of [undefined, otherBase, otherAdapter]) {
		t.equal(await readAll(await dispatchToGate(t, tag, {head: tag, marker})), 'broken', marker ?? 'the base model alone');
	}
});
