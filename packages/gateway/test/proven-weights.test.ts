import dgram from 'node:dgram';
import {setTimeout as delay} from 'node:timers/promises';
import type {WeightsProof} from '@bitternpaddle/coordination';
import {parseAddress} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	deploy, stream, wholeWeights, type DeployOptions, type Serve,
} from './support/single-entry.js';
import {encodeLoadMessage} from '@bitternpaddle/gateway';

/** Longer than it takes until an entry knows the announcements and reports that are sent. */
const settleMs = 400;

type Arrival = {readonly requestId: string; readonly version: string | undefined};

/** An engine that holds `held.version` and refuses requests that name another one. */
const createEngine = () => {
	const held = {version: 1};
	const arrivals: Arrival[] = [];
	const serve: Serve = (request, response) => {
		const requestId = String(request.headers['x-id']);
		const version = request.headers['x-version'] as string | undefined;
		arrivals.push({requestId, version});
		response.setHeader('connection', 'close');
		if (version === undefined || Number(version) === held.version) {
			stream(request, response);
		} else {
			response.writeHead(421, {'x-id': requestId, 'x-not-run': '1', 'content-length': 0}).end();
		}
	};

	return {held, serve, arrivalsOf: (id: string): Arrival[] => arrivals.filter(({requestId}) => requestId === id)};
};

const deployEngine = async (t: Test, options: DeployOptions = {}) => {
	const engine = createEngine();
	return {...engine, ...await deploy(t, engine.serve, options)};
};

const otherStart: WeightsProof = {
	type: 'whole', version: 1, engineId: 'e0', startedAtMs: null,
};
const otherBoot: WeightsProof = {
	type: 'whole', version: 1, engineId: 'e1', startedAtMs: 1_764_000_000_123,
};

// Guards against answers made with weights that nobody has checked: an engine announces the version that it has loaded, whole or not.
for (const [name, weights] of Object.entries<WeightsProof>({
	'whose agent does not know its weights': {type: 'unknown'}, 'without whole weights': {type: 'none'}, 'whose weights were shown of a start with another id': otherStart,
	'whose weights were shown of a start at another time': otherBoot,
})) {
	t.test(`an engine ${name} gets no request, whatever version it announces`, async t => {
		const {call, engineState, arrivalsOf} = await deployEngine(t, {weights, isServing: false});
		await delay(settleMs);
		t.equal((await call('early')).status, 503);
		t.same(arrivalsOf('early'), []);
		engineState.weights = wholeWeights(1);
		await delay(settleMs);
		t.equal((await call('late')).status, 200);
	});
}

t.test('an engine without any report gets no request, whatever version it announces', async t => {
	const {call, engineState, arrivalsOf} = await deployEngine(t, {isReported: false, isServing: false});
	await delay(settleMs);
	t.equal((await call('early')).status, 503);
	t.same(arrivalsOf('early'), []);
	engineState.isReported = true;
	await delay(settleMs);
	t.equal((await call('late')).status, 200);
});

// Guards against an engine that switches versions while a request is in transit, long before the version is due.
t.test('every request names the version that was shown to be whole', async t => {
	const {call, engineState, held, arrivalsOf} = await deployEngine(t);
	t.equal((await call('one')).status, 200);
	t.same(arrivalsOf('one'), [{requestId: 'one', version: '1'}]);
	held.version = 2;
	engineState.weights = wholeWeights(2);
	await delay(settleMs);
	t.equal((await call('two')).status, 200);
	t.same(arrivalsOf('two'), [{requestId: 'two', version: '2'}]);
});

// Guards against a fleet without service while agents restart: a new agent does not know what its predecessor has shown.
t.test('what was shown holds while the agent does not know, or sends nothing, until it shows that there are no whole weights', async t => {
	const {call, engineState, arrivalsOf} = await deployEngine(t);
	engineState.weights = {type: 'unknown'};
	await delay(settleMs);
	t.equal((await call('unknown')).status, 200);
	engineState.isReported = false;
	await delay(1000);
	t.equal((await call('silent')).status, 200);
	engineState.isReported = true;
	engineState.weights = {type: 'none'};
	await delay(settleMs);
	t.equal((await call('none')).status, 503);
	t.same(arrivalsOf('none'), []);
});

// Guards against sending further requests to an engine that has refused the version that it was shown to hold, and against giving it up for good.
t.test('an engine that refuses the named version gets no request until a later report', async t => {
	const {call, engineState, held, arrivalsOf} = await deployEngine(t);
	engineState.isReported = false;
	await delay(settleMs);
	held.version = 2;
	t.equal((await call('refused')).status, 503);
	t.equal(arrivalsOf('refused').length, 1);
	t.equal((await call('not-sent')).status, 503);
	t.same(arrivalsOf('not-sent'), []);
	engineState.weights = wholeWeights(2);
	engineState.isReported = true;
	await delay(settleMs);
	t.equal((await call('later')).status, 200);
});

// Guards against a request that is sent although a report has voided the weights while its connection was established.
t.test('a request is not sent if the weights are no longer shown to be whole when its connection is ready', async t => {
	const exclusions: unknown[] = [];
	const socket = dgram.createSocket('udp4');
	t.teardown(() => {
		socket.close();
	});
	let reportNone = (): void => undefined;
	const {call, engineState, arrivalsOf, engineAddress, entryAddress} = await deployEngine(t, {
		logger: {
			event(event, {requestId, exclusion} = {}) {
				if (event === 'BP4023' && requestId === 'held') {
					reportNone();
				} else if (event === 'BP4055') {
					exclusions.push([requestId, exclusion]);
				}
			},
		},
	});
	const {host, port} = parseAddress(entryAddress);
	await new Promise<void>(resolve => {
		socket.connect(port, host, resolve);
	});
	reportNone = () => {
		engineState.weights = {type: 'none'};
		socket.send(encodeLoadMessage({
			kind: 'near', reports: [{
				epoch: 1, sequence: 1, endpointAddress: engineAddress, delivery: {type: 'direct', sentAtMs: performance.now()}, report: {
					running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, weights: {type: 'none'}, readyInMs: null,
				},
			}],
		}));
	};

	t.equal((await call('held')).status, 503);
	t.same(arrivalsOf('held'), []);
	t.same(exclusions, [['held', 'weights']]);
});
