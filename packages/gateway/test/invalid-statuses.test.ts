import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {silentLogger, type Logger} from '@bitternpaddle/transport';
import {createCrashingFleet, type EngineBehavior} from './support/crashing-fleet.js';

/** Status lines that end no request. */
const invalidStatuses: Readonly<Record<string, string>> = {
	none: '000 None', low: '099 Low', switched: '101 Switching Protocols', upgraded: '101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other', high: '600 High', highest: '999 High',
};

type Logged = {readonly event: string; readonly fields: Record<string, unknown>};

const createRecorder = (): {readonly logger: Logger; readonly logged: Logged[]} => {
	const logged: Logged[] = [];
	return {
		logged, logger: {
			...silentLogger,
			event(event, fields = {}) {
				logged.push({event, fields});
			},
		},
	};
};

const raw = (status: string): EngineBehavior => ({type: 'raw', text: `HTTP/1.1 ${status}\r\nx-id: ID\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok`});

for (const [name, status] of Object.entries(invalidStatuses)) {
	// Guards against an engine in trouble whose answers end in an exception of the entry: callers got a closed connection, or nothing until their deadline.
	t.test(`the only engine answers with the status line "${name}"`, async t => {
		const {logger, logged} = createRecorder();
		const state = {isInvalid: false};
		const fleet = await createCrashingFleet(t, {engineCount: 1, logger, behaviorOf: () => state.isInvalid ? raw(status) : {type: 'stream', pauseMs: 1}});
		state.isInvalid = true;
		for (const path of ['/draft/1', '/unsafe/1']) {
			const answer = await fleet.call(`call ${path}`, `body ${path}`, {path, deadlineMs: 1500});
			t.match(answer, {status: 502}, path);
			t.equal(answer.headers['x-signature'], undefined, 'the answer is the entry\'s own');
		}

		t.same(logged.filter(({event}) => event === 'BP9003'), [], 'no exception reached the process');
		t.match(logged.filter(({event}) => event === 'BP4024').map(({fields}) => fields), [{cause: 'unreadable'}, {cause: 'unreadable'}]);
	});

	// Guards against an engine that goes on to get its share of the requests, as its answers are not counted as failures.
	t.test(`one of three engines answers with the status line "${name}"`, async t => {
		const {logger, logged} = createRecorder();
		const state = {isInvalid: false};
		const fleet = await createCrashingFleet(t, {
			engineCount: 3, logger, behaviorOf: (_body, _headers, engine) => state.isInvalid && engine === 0 ? raw(status) : {type: 'stream', pauseMs: 20},
		});
		state.isInvalid = true;
		const calls: Array<Promise<number>> = [];
		for (let index = 0; index < 60; index++) {
			calls.push(fleet.call(`call ${index}`, `body ${index}`).then(answer => answer.status));
			await delay(10);
		}

		t.same((await Promise.all(calls)).filter(other => other !== 200), [], 'another engine answers');
		t.ok(logged.some(({event}) => event === 'BP4026'), 'the engine is left out');
	});
}
