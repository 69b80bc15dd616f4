import type http from 'node:http';
import {
	adapterHeader, endedRefusal, endMarkerTrailer, hostHeader, loadHeader, refusalHeader, requestIdHeader, verdictHeader, versionHeader,
} from '@bitternpaddle/protocol';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {sendJson, whenDrained} from '@bitternpaddle/transport';
import type {DoorRun} from './door-run.js';

/** Refuses in a way that proves to the entry that nothing ran. */
export const refuse = (response: http.ServerResponse, reason: string): void => {
	sendJson(response, 503, {error: {type: 'not_run', message: reason}}, {[verdictHeader]: 'notRun'});
};

export const sendFailure = (response: http.ServerResponse, verdict: UnansweredVerdict): void => {
	match(verdict)
		.with({type: 'notRun'}, ({reason}) => {
			refuse(response, reason);
		})
		.with({type: 'mayHaveRun'}, verdict => {
			sendJson(response, 502, {error: {type: 'may_have_run', message: verdict.reason}}, {[verdictHeader]: 'mayHaveRun', ...endedHeader(verdict)});
		})
		.exhaustive();
};

/** Also behind a part of an answer the entry must learn that the rest will not come since the endpoint ended. */
const endedHeader = (failure: UnansweredVerdict | null): Record<string, string> => failure?.type === 'mayHaveRun' && failure.hasEndpointEnded === true
	? {[refusalHeader]: endedRefusal}
	: {};

const pieceBytes = 32_768;

export type SendAnswerOptions = {
	readonly hostId: string;
	/** The first byte that the entry has not got yet. */
	readonly offset: number;
	/** Responses that wait for the endpoint; each gets a sign of life at every tick. */
	readonly waiting: Set<http.ServerResponse>;
	/** Requests that run at this host, of all entries. */
	running(): number;
};

/** Sends a run's answer from `offset` on, as it comes; returns when it is sent or the connection is gone. */
export const sendAnswer = async (run: DoorRun, response: http.ServerResponse, {hostId, offset, waiting, running}: SendAnswerOptions): Promise<void> => {
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
		...(versionId === null ? {} : {[versionHeader]: versionId}), ...(adapterTag !== undefined && {[adapterHeader]: adapterTag}), trailer: endMarkerTrailer, ...endedHeader(run.failure),
	});
	if (run.buffer.readFrom(offset) === null && run.marker === null) {
		// An entry that comes back must hear at once that it has been found.
		response.flushHeaders();
	}

	await sendParts(run, response, offset);
};

/** A stream is sent as it comes. Nobody reads any other answer before its end, so it goes out in one piece, unless it is large. */
const isReadyToSend = ({head, marker, failure, buffer}: DoorRun, offset: number): boolean => marker !== null || failure !== null
	|| (head !== null && (head.contentType.startsWith('text/event-stream') || buffer.endOffset() - offset >= pieceBytes));

const sendParts = async (run: DoorRun, response: http.ServerResponse, offset: number): Promise<void> => {
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
			// Without the end marker the answer does not pass for whole.
			response.destroy();
		}
	}
};
