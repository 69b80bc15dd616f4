import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import {
	createEndpointConnections, createEventSplitter, sendAttempt, type AttemptResult, type HeaderNames, type OversizedPart,
} from '@bitternpaddle/gateway';

const names: HeaderNames = {
	requestId: 'x-id', deadlineMs: 'x-deadline', expectedEndpoint: 'x-expect', expectedVersion: 'x-version', team: 'x-team', notRun: 'x-not-run', signature: 'x-signature',
	urgency: 'x-urgency', load: 'x-load', lastEventId: 'last-event-id',
};

const requestId = 'r1';
const maxStream = 400_000;
/** The bound of a plain answer and what the buffers of a connection take. */
const maxSentBytes = 30_000_000;
const runMs = 5000;

const head = (status: string, fields: string): string => `HTTP/1.1 ${status}\r\nx-id: ${requestId}\r\nx-signature: s\r\n${fields}\r\n`;
const streamHead = head('200 OK', 'content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n');
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const filler = 'x'.repeat(4096);

type EndlessKind = {
	/** What comes first, and what comes without end. */
	readonly first: string;
	readonly endless: string;
	/** The part that is logged as too large; `null` if the parser of Node ends it, or the head says all. */
	readonly part: OversizedPart | null;
	readonly type: AttemptResult['type'];
};

const kinds: Readonly<Record<string, EndlessKind>> = {
	'one event in chunks': {
		first: streamHead, endless: chunk(filler), part: 'event', type: 'broken',
	},
	'one event without a length': {
		first: head('200 OK', 'content-type: text/event-stream\r\n'), endless: filler, part: 'event', type: 'broken',
	},
	comments: {
		first: streamHead, endless: chunk(': ping\n\n'.repeat(100)), part: 'body', type: 'broken',
	},
	'informational answers': {
		first: '', endless: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n', part: 'informational', type: 'broken',
	},
	'the body of a refusal': {
		first: head('503 Full', 'x-not-run: 1\r\ntransfer-encoding: chunked\r\n'), endless: chunk(filler), part: null, type: 'refused',
	},
	'the body of a plain answer': {
		first: head('200 OK', 'content-type: text/plain\r\n'), endless: filler, part: 'body', type: 'broken',
	},
	'one line of a head': {
		first: 'HTTP/1.1 200 OK\r\nx-a: ', endless: filler, part: 'head', type: 'broken',
	},
	'lines of a head': {
		first: 'HTTP/1.1 200 OK\r\n', endless: `x-a: ${'a'.repeat(100)}\r\n`, part: 'head', type: 'broken',
	},
	noise: {
		first: '', endless: '\u0001\u0002\u0003\u0004'.repeat(1000), part: null, type: 'broken',
	},
	'the extension of a chunk': {
		first: `${streamHead}5;a=`, endless: filler, part: 'chunkExtension', type: 'broken',
	},
	trailers: {
		first: `${streamHead}${chunk('id: 1\ndata: a\n\n')}0\r\n`, endless: `x-a: ${'a'.repeat(100)}\r\n`, part: 'head', type: 'broken',
	},
};

type Endpoint = {readonly address: string; sentBytes(): number; closedAfterMs(): number | null};

/** Writes the endless part as fast as the caller reads it, or one byte at a time, until the connection is closed. */
const listen = async (t: Test, {first, endless}: EndlessKind, isSlow: boolean): Promise<Endpoint> => {
	const sockets = new Set<Socket>();
	const state: {sentBytes: number; closedAfterMs: number | null} = {sentBytes: 0, closedAfterMs: null};
	const server = createServer(socket => {
		let position = 0;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			const startedAtMs = performance.now();
			socket.once('close', () => {
				state.closedAfterMs = performance.now() - startedAtMs;
			});
			const write = (text: string): boolean => {
				state.sentBytes += text.length;
				return socket.write(text);
			};

			const mayContinue = (): boolean => state.closedAfterMs === null && state.sentBytes < maxSentBytes;

			const continueWriting = (): void => {
				if (isSlow && mayContinue()) {
					write(endless[position++ % endless.length]!);
					setImmediate(continueWriting);
					return;
				}

				let hasRoom = true;
				while (hasRoom && mayContinue()) {
					hasRoom = write(endless);
				}
			};

			socket.setNoDelay(true);
			if (!isSlow) {
				socket.on('drain', continueWriting);
			}

			write(first);
			continueWriting();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sentBytes: () => state.sentBytes, closedAfterMs: () => state.closedAfterMs};
};

const send = async (t: Test, address: string): Promise<{result: AttemptResult; passedBytes: number}> => {
	const connections = createEndpointConnections();
	t.teardown(connections.close);
	let passedBytes = 0;
	const result = await sendAttempt({
		connections, headerNames: names, address, method: 'POST', path: '/', headers: {'x-id': requestId}, requestId, body: Buffer.from('hello'), requiresFreshConnection: false,
		limits: {
			firstByteMs: null, maxFirstByteMs: null, pauseMs: null, isReported: () => false, failOver: async () => false,
		},
		beginWithinMs: null, maxStreamBytes: maxStream, exclusion: () => null, signal: AbortSignal.timeout(runMs), onHead: () => undefined, onFirstByte: () => undefined,
		onEvents(_head, events) {
			passedBytes += events.length;
		},
	});
	return {result, passedBytes};
};

// Guards against an endpoint that sends bytes without end and takes the time of an entry from all other requests.
for (const [name, kind] of Object.entries(kinds)) {
	t.test(`${name} without end: the connection is closed at a bound`, async t => {
		const endpoint = await listen(t, kind, false);
		const {result, passedBytes} = await send(t, endpoint.address);
		t.equal(result.type, kind.type);
		t.equal(result.type === 'broken' ? result.oversize?.part ?? null : null, kind.part);
		t.ok(passedBytes <= maxStream, `${passedBytes} bytes are passed on`);
		while (endpoint.closedAfterMs() === null) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		t.ok(endpoint.sentBytes() < maxSentBytes, `${endpoint.sentBytes()} bytes were sent`);
	});
}

// Guards against the same from an endpoint that sends it byte by byte.
t.test('an event without end is cut at its bound also if it comes byte by byte', async t => {
	const endpoint = await listen(t, {...kinds['one event without a length']!, endless: 'x'}, true);
	const {result} = await send(t, endpoint.address);
	// Either the bound or the deadline of the request comes first.
	t.ok(result.type === 'aborted' || (result.type === 'broken' && result.oversize?.part === 'event'));
});

// Guards against a length of gigabytes that is read for as long as the request has time.
t.test('an answer whose length exceeds the bound is not read', async t => {
	const endpoint = await listen(t, {
		first: head('200 OK', 'content-type: text/plain\r\ncontent-length: 8000000000\r\n'), endless: filler, part: 'body', type: 'broken',
	}, false);
	t.match((await send(t, endpoint.address)).result, {type: 'broken', oversize: {part: 'body', receivedBytes: 0}});
});

const seed = 20_261_204;

// Guards against outcomes that depend on the parts in which a stream arrives.
t.test('any split of a stream gives the same events as the whole at once', async t => {
	const piece = fc.constantFrom('id: 1', 'id: 23\n', 'data: a', '\n', '\r\n', '\n\n', '\r\n\r\n', '\r', ': c\n', 'x'.repeat(600), 'é');
	fc.assert(fc.property(fc.array(piece, {maxLength: 40}), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 20}), (pieces, sizes) => {
		const data = Buffer.from(pieces.join(''));
		const atOnce = createEventSplitter();
		const expected = atOnce.push(data)?.toString('latin1') ?? '';
		const splitter = createEventSplitter();
		let events = '';
		for (let offset = 0, index = 0; offset < data.length; index++) {
			const size = sizes[index % sizes.length]!;
			events += splitter.push(data.subarray(offset, offset + size))?.toString('latin1') ?? '';
			offset += size;
		}

		return events === expected && splitter.lastId() === atOnce.lastId() && splitter.pendingBytes() === atOnce.pendingBytes();
	}), {seed, numRuns: 5000});
	t.pass();
});

