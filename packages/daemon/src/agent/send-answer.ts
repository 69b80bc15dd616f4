import type http from 'node:http';
import {
	adapterHeader, endpointExitRefusal, endMarkerTrailer, hostHeader, loadHeader, refusalHeader, requestIdHeader, verdictHeader, versionHeader,
} from '@bitternpaddle/protocol';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {sendJson, whenDrained} from '@bitternpaddle/transport';
import type {EndpointRun} from './endpoint-run.js';

/** Refuses a request with the verdict `notRun`, which tells the entry that it is safe to retry. */
export const refuse = (response: http.ServerResponse, reason: string): void => {
	sendJson(response, 503, {error: {type: 'not_run', message: reason}}, {[verdictHeader]: 'notRun'});
};

export const sendFailure = (response: http.ServerResponse, verdict: UnansweredVerdict): void => {
	match(verdict)
		.with({type: 'notRun'}, ({reason}) => {
			refuse(response, reason);
		})
		.with({type: 'mayHaveRun'}, verdict => {
			sendJson(response, 502, {error: {type: 'may_have_run', message: verdict.reason}}, {[verdictHeader]: 'mayHaveRun', ...endpointExitHeader(verdict)});
		})
		.exhaustive();
};

/** Reports that the endpoint exited; also sent with a partial answer, so that the entry knows why the remainder will not arrive. */
const endpointExitHeader = (failure: UnansweredVerdict | null): Record<string, string> => failure?.type === 'mayHaveRun' && failure.hasEndpointEnded === true
	? {[refusalHeader]: endpointExitRefusal}
	: {};

const minSendBytes = 32_768;

export type SendAnswerOptions = {
	readonly hostId: string;
	/** The first byte that the entry has not received. */
	readonly offset: number;
	/** Responses that wait for the endpoint; each is sent a keep-alive at every tick. */
	readonly waiting: Set<http.ServerResponse>;
	/** Requests of all entries that run on this host. */
	running(): number;
};

/** Streams a run's answer from `offset` on; returns when it has been sent or the connection is closed. */
export const sendAnswer = async (run: EndpointRun, response: http.ServerResponse, {hostId, offset, waiting, running}: SendAnswerOptions): Promise<void> => {
	run.readers++;
	run.unattendedSinceMs = null;
	run.readOffset = offset;
	response.once('close', () => {
		waiting.delete(response);
		run.readers--;
		if (run.readers === 0) {
			run.unattendedSinceMs = performance.now();
		}

		run.notify();
	});
	waiting.add(response);
	while (!isReadyToSend(run, offset) && !response.destroyed) {
		await run.nextChange();
	}

	waiting.delete(response);
	if (response.destroyed) {
		return;
	}

	if (run.failure !== null && (run.head === null || offset === 0)) {
		sendFailure(response, run.failure);
		return;
	}

	const {status, contentType, versionId, adapterTag} = run.head!;
	response.writeHead(status, {
		'content-type': contentType, [requestIdHeader]: run.requestId, [verdictHeader]: 'ran', [hostHeader]: hostId, [loadHeader]: running(),
		...(versionId === null ? {} : {[versionHeader]: versionId}), ...(adapterTag !== undefined && {[adapterHeader]: adapterTag}), trailer: endMarkerTrailer, ...endpointExitHeader(run.failure),
	});
	if (run.buffer.readFrom(offset) === null && run.marker === null) {
		// A reconnecting entry must learn immediately that its run was found.
		response.flushHeaders();
	}

	await sendParts(run, response, offset);
};

/** An event stream is sent as it arrives. Any other answer is used only when complete, so it is sent in one write unless it is large. */
const isReadyToSend = ({head, marker, failure, buffer}: EndpointRun, offset: number): boolean => marker !== null || failure !== null
	|| (head !== null && (head.contentType.startsWith('text/event-stream') || buffer.endOffset() - offset >= minSendBytes));

const sendParts = async (run: EndpointRun, response: http.ServerResponse, offset: number): Promise<void> => {
	let position = offset;
	while (!response.destroyed) {
		const part = run.buffer.readFrom(position);
		if (part === 'gone') {
			response.destroy();
		} else if (part !== null) {
			position += part.length;
			run.readOffset = position;
			if (run.isHeldBack) {
				run.notify();
			}

			if (!response.write(part)) {
				await whenDrained(response);
			}
		} else if (run.marker !== null) {
			response.addTrailers({[endMarkerTrailer]: JSON.stringify(run.marker)});
			response.end();
			return;
		} else if (run.failure === null) {
			await run.nextChange();
		} else {
			// Without the end marker, the entry does not take the answer for complete.
			response.destroy();
		}
	}
};
