import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import type {ConsensusEnvelope} from '@bitternpaddle/protocol';
import {createHttpServer, readBody} from '@bitternpaddle/transport';
import t from 'tap';
import {createPeerSender} from '@bitternpaddle/daemon/consensus';

const maxCallBytes = 1_300_000;

const appendOf = (index: number, sizeBytes: number): ConsensusEnvelope => ({
	from: 'a#1', to: 'b#1', message: {
		type: 'appendRequest', term: 1, previousIndex: index - 1, previousTerm: 1, commitIndex: 0, sentAtMs: 0, hasLease: true, echo: null,
		entries: [{index, term: 1, payload: {type: 'document', document: {kind: 'configuration', number: index, text: 'x'.repeat(sizeBytes)}}}],
	},
});

const until = async (check: () => boolean): Promise<void> => {
	while (!check()) {
		await delay(5);
	}
};

type Call = {readonly sizeBytes: number; readonly indexes: number[]};

// Guards against a queue that is bounded by messages only and goes into one call of tens of megabytes.
t.test('what waits for a peer, and what a call to it carries, is bounded in bytes', async t => {
	const calls: Call[] = [];
	const gate = {isOpen: false};
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			const body = await readBody(request);
			const {params} = JSON.parse(Buffer.from(body).toString()) as {params: {envelopes: ConsensusEnvelope[]}};
			calls.push({
				sizeBytes: body.length, indexes: params.envelopes.flatMap(({message}) => message.type === 'appendRequest' ? [message.previousIndex + 1] : []),
			});
			if (calls.length === 1) {
				await until(() => gate.isOpen);
			}

			response.writeHead(204).end();
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	let droppedBytes = 0;
	const peers = createPeerSender({
		addressOf: () => server.address, timeoutMs: 60_000,
		onDrop(_to, bytes) {
			droppedBytes += bytes;
		},
	});
	for (let index = 1; index <= 60; index++) {
		peers.send(appendOf(index, 400_000));
		t.ok(peers.queuedBytes() <= 8 * 1024 * 1024);
	}

	await until(() => calls.length > 0);
	gate.isOpen = true;
	await until(() => calls.at(-1)?.indexes.at(-1) === 60);

	t.ok(calls.every(({sizeBytes}) => sizeBytes <= maxCallBytes), `${Math.max(...calls.map(({sizeBytes}) => sizeBytes))} bytes in a call`);
	const indexes = calls.flatMap(call => call.indexes);
	t.same(indexes, indexes.toSorted((a, b) => a - b), 'in order');
	t.ok(droppedBytes > 0 && indexes.length < 60, 'the oldest are dropped');
});
