import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {configuration} from './support/single-entry.js';
import {createGatewayMetrics, createServiceRooms, type ServiceRooms} from '@bitternpaddle/gateway';

const [baseRoute] = configuration.routes;
const service = {
	...configuration.services[0]!, engine: {
		slots: 12, stepsPerPass: 7, stepMs: 7, perSequenceMs: 0.02, contextMsPerThousand: 0.01, readTokensPerSecond: 30_000, usualPromptTokens: 900, usualAnswerTokens: 100,
		kvCapacityTokens: 1_000_000, model: 'm', chunks: 0, chunkBytes: 0, loadMs: 0,
	},
};
const routeOf = (name: string, priority: number) => ({
	...baseRoute!, name, priority, targets: [{serviceName: service.name, weight: 1}],
});
const usual = routeOf('usual', 1);
const rare = routeOf('rare', 2);

// Deployments whose requests all have one priority name unused routes of other priorities.
// If these counted, every request would be decided by the rules for competing priorities.
t.test('routes that hardly any request uses do not make priorities compete', async t => {
	let nowMs = 0;
	const rooms = createServiceRooms({logger: silentLogger, metrics: createGatewayMetrics(), nowMs: () => nowMs});
	rooms.configure({
		...configuration, routes: [usual, rare], services: [service], teams: null,
	});
	const arrive = (route: typeof usual): void => {
		nowMs += 20;
		rooms.recordArrival({
			service, route, team: null, promptTokens: 900, answerTokenLimit: 0, hasComeBack: false,
		} as unknown as Parameters<ServiceRooms['recordArrival']>[0]);
	};

	t.equal(rooms.roomOf(service), null, 'before any request');
	for (let index = 0; index < 200; index++) {
		arrive(index % 50 === 0 ? rare : usual);
	}

	t.equal(rooms.roomOf(service), null, 'two in a hundred');
	t.equal(rooms.demands().size, 0, 'nothing is exchanged');
	for (let index = 0; index < 200; index++) {
		arrive(index % 3 === 0 ? rare : usual);
	}

	t.same(rooms.roomOf(service)?.priorities, [1, 2]);
	t.equal(rooms.demands().size, 1);
});

// Engines order the requests of urgent teams in their queues. Under the rules for competing
// kinds, the requests of all other teams would wait or be refused for them.
t.test('the priorities of teams alone do not make the requests of one kind compete', async t => {
	let nowMs = 0;
	const rooms = createServiceRooms({logger: silentLogger, metrics: createGatewayMetrics(), nowMs: () => nowMs});
	const teams = [{name: 'urgent', keys: ['a'], priority: 0}, {name: 'usual', keys: ['b'], priority: null}];
	rooms.configure({
		...configuration, routes: [usual], services: [service], teams,
	});
	for (let index = 0; index < 200; index++) {
		nowMs += 20;
		rooms.recordArrival({
			service, route: usual, team: teams[index % 2]!, promptTokens: 900, answerTokenLimit: 0, hasComeBack: false,
		} as unknown as Parameters<ServiceRooms['recordArrival']>[0]);
	}

	t.equal(rooms.roomOf(service), null);
});
