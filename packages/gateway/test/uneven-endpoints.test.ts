import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	configuration, deploy, protocol, type Serve,
} from './support/single-entry.js';
import type {RequestProtocol} from '@bitternpaddle/gateway';

const [route] = configuration.routes;
const [service] = configuration.services;

/** A plain service; the load header is active requests, slots and slowdown. */
const plainProtocol: RequestProtocol = {
	...protocol,
	decodeConfiguration: () => ({
		type: 'configuration', configuration: {...configuration, routes: [{...route!, retryClass: 'safe'}], services: [{...service!, engine: null}]},
	}),
	readLoad(text) {
		const [active, slots, slowdown] = text.split(',').map(Number);
		return Number.isFinite(active) ? {active: active!, slots: slots ?? null, slowdown: slowdown ?? null} : null;
	},
};

const deployPlain = async (test: Test, state: {readonly load: string | null}) => {
	const lines: Array<Record<string, unknown>> = [];
	const serve: Serve = (request, response) => {
		setTimeout(() => {
			response.writeHead(200, {
				'x-id': request.headers['x-id'], 'x-signature': 's', ...(state.load !== null && {'x-load': state.load}),
			});
			response.end('answer');
		}, 50);
	};

	const {call} = await deploy(test, serve, {
		requestProtocol: plainProtocol, logger: {
			event(event, fields) {
				lines.push({event, ...fields});
			},
		},
	});
	const linesOf = (event: string, requestId: string) => lines.filter(line => line.event === event && line.requestId === requestId);
	return {call, linesOf};
};

t.test('an entry learns the usual time and the slowdown from answers, and refuses at once what cannot be answered in time', async t => {
	const {call, linesOf} = await deployPlain(t, {load: '1,4,2'});
	for (let index = 0; index < 6; index++) {
		t.equal((await call(`learn-${index}`)).status, 200);
	}

	const [sent] = linesOf('BP4023', 'learn-5');
	t.equal(sent?.slowdown, 2);
	t.ok(Math.abs(sent?.usualMs as number - 26) < 12, `${sent?.usualMs as number} ms learned from answers that take 50 ms at twice the usual time`);
	t.ok(Math.abs(sent?.expectedMs as number - 52) < 24);
	const startedAtMs = performance.now();
	t.equal((await call('hurried', undefined, 35)).status, 503);
	t.ok(performance.now() - startedAtMs < 30);
	t.equal(linesOf('BP4064', 'hurried')[0]?.sent, 0);
	t.same(linesOf('BP4023', 'hurried'), []);
});

t.test('a missing or unreadable header changes neither the estimate nor the log lines', async t => {
	const state: {load: string | null} = {load: null};
	const {call, linesOf} = await deployPlain(t, state);
	await call('missing');
	state.load = 'x,y';
	await call('unreadable');
	await delay(10);
	await call('last');
	const [sent] = linesOf('BP4023', 'last');
	t.ok(sent !== undefined && !('slowdown' in sent) && !('usualMs' in sent));
});
