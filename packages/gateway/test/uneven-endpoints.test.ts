import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
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

type EndpointState = {/** Value of the load header; `null` for none. */ load: string | null; isRefusing?: boolean};

const serveAfter50Ms = (state: EndpointState): Serve => (request, response) => {
	setTimeout(() => {
		response.writeHead(state.isRefusing ? 503 : 200, {
			'x-id': request.headers['x-id'], 'x-signature': 's', ...(state.load !== null && {'x-load': state.load}), ...(state.isRefusing && {'x-not-run': '1'}),
		});
		response.end('answer');
	}, 50);
};

const deployPlain = async (test: Test, state: Readonly<EndpointState>) => {
	const lines: Array<Record<string, unknown>> = [];
	const deployment = await deploy(test, serveAfter50Ms(state), {
		requestProtocol: plainProtocol, logger: {
			event(event, fields) {
				lines.push({event, ...fields});
			},
		},
	});
	const linesOf = (event: string, requestId: string) => lines.filter(line => line.event === event && line.requestId === requestId);
	return {...deployment, linesOf};
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
	t.equal((await call('hurried', undefined, 35)).status, 503);
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

t.test('a slow near endpoint is passed over for one in another zone, and a further attempt without enough time left is not sent', async t => {
	const near: EndpointState = {load: '1,4,1'};
	const {call, linesOf, coreNode} = await deployPlain(t, near);
	const far: EndpointState = {load: '1,4,1'};
	const other = createServer(serveAfter50Ms(far));
	other.listen(0, '127.0.0.1');
	await once(other, 'listening');
	t.teardown(() => {
		other.closeAllConnections();
		other.close();
	});
	coreNode.announce({
		id: 'other', serviceName: 's', address: `127.0.0.1:${(other.address() as AddressInfo).port}`, zoneId: 'y', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
	});
	// The announcement reaches the entry meanwhile.
	for (let index = 0; index < 6; index++) {
		await call(`usual-${index}`);
	}

	near.isRefusing = true;
	far.isRefusing = true;
	t.equal((await call('hurried', undefined, 95)).status, 503, 'nothing ran');
	t.equal(linesOf('BP4023', 'hurried').length, 1);
	t.equal(linesOf('BP4064', 'hurried')[0]?.sent, 1);
	near.isRefusing = false;
	far.isRefusing = false;
	near.load = '1,4,4';
	// A refusal counts for 300 ms.
	await delay(350);
	for (let index = 0; index < 6; index++) {
		await call(`slow-${index}`);
	}

	t.match(linesOf('BP4063', 'slow-5'), [{endpointId: 'other', nearEndpointId: 'e1'}]);
});
