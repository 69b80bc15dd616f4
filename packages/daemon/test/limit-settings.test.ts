import t from 'tap';
import {createAdmission, offerRequest, setShares} from '@bitternpaddle/coordination';
import {limitsOf, resolveSettings, type Settings} from '@bitternpaddle/daemon';

const needed = {roles: 'entry', hostId: 'e1', controls: 'c1=127.0.0.1:1'};

const read = (flags: Record<string, string>, environment: Record<string, string> = {}): Settings => {
	const result = resolveSettings({...needed, ...flags}, environment);
	if (result.type === 'problems') {
		throw new Error(result.problems.join('\n'));
	}

	return result.settings;
};

const problemsOf = (flags: Record<string, string>): readonly string[] => {
	const result = resolveSettings({...needed, ...flags}, {});
	return result.type === 'problems' ? result.problems : [];
};

/** Offers requests of 100 tokens from teams with equal shares and counts those that are queued. */
const countQueued = (settings: Settings, offered: number, teamIds = ['a']): number => {
	const admission = createAdmission(limitsOf(settings));
	setShares(admission, {teams: new Map([['a', 1], ['b', 1]]), entries: 1}, 0);
	let queued = 0;
	for (let index = 0; index < offered; index++) {
		const {type} = offerRequest(admission, {
			requestId: `r${index}`, teamId: teamIds[index % teamIds.length]!, target: 'm', cost: 100, priority: 0, deadlineAtMs: 1e9,
		}, 0);
		queued += type === 'queued' ? 1 : 0;
	}

	return queued;
};

t.test('each of the four limit settings takes effect', async t => {
	t.same(limitsOf(read({})), {
		fleetTokensPerSecond: null, burstSeconds: 10, maxQueuedPerTeam: 512, maxQueuedPerTarget: 2048,
	});
	t.equal(countQueued(read({}), 1000), 512, 'without a rate limit, only the queue bound applies to a team');
	t.equal(countQueued(read({limitTokens: '200'}), 1000), 10, '100 tokens per second for the team, with a burst of ten seconds');
	t.equal(countQueued(read({limitTokens: '200', limitBurstSeconds: '3'}), 1000), 3);
	t.equal(countQueued(read({maxQueuedPerTeam: '7'}), 1000), 7);
	t.equal(countQueued(read({maxQueuedPerTeam: '20', maxQueuedPerService: '20'}), 1000), 10, 'a team may hold at most as many queue slots as are still free');
	t.equal(countQueued(read({maxQueuedPerTeam: '20', maxQueuedPerService: '21'}), 1000, ['a', 'b']), 14, 'and the same applies to each of two teams');
});

t.test('flags take precedence over the environment for limits', async t => {
	const environment = {
		BITTERNPADDLE_LIMIT_TOKENS_PER_SECOND: '400', BITTERNPADDLE_LIMIT_BURST_SECONDS: '5', BITTERNPADDLE_MAX_QUEUED_PER_TEAM: '6', BITTERNPADDLE_MAX_QUEUED_PER_SERVICE: '70',
	};
	t.same(limitsOf(read({}, environment)), {
		fleetTokensPerSecond: 400, burstSeconds: 5, maxQueuedPerTeam: 6, maxQueuedPerTarget: 70,
	});
	t.same(limitsOf(read({
		limitTokens: '1', limitBurstSeconds: '2', maxQueuedPerTeam: '3', maxQueuedPerService: '4',
	}, environment)), {
		fleetTokensPerSecond: 1, burstSeconds: 2, maxQueuedPerTeam: 3, maxQueuedPerTarget: 4,
	});
});

t.test('an invalid limit is rejected with the name of its flag', async t => {
	for (const [key, name, wrong] of [
		['limitTokens', 'limit-tokens-per-second', ['0', '-1', '1.5', 'many', '1000000001']],
		['limitBurstSeconds', 'limit-burst-seconds', ['0', '3601', '1s']],
		['maxQueuedPerTeam', 'max-queued-per-team', ['0', '1000001', 'x']],
		['maxQueuedPerService', 'max-queued-per-service', ['0', '1000001', 'x']],
	] as const) {
		for (const value of wrong) {
			const problems = problemsOf({[key]: value});
			t.ok(problems.length === 1 && problems[0]!.startsWith(`--${name} (`), `${name} ${value}: ${problems.join('; ')}`);
		}
	}

	t.match(problemsOf({maxQueuedPerTeam: '9', maxQueuedPerService: '8'}), [/--max-queued-per-team is 9/v]);
});

t.test('limits on requests that contradict each other are refused', async t => {
	t.same(problemsOf({maxOpenRequests: '64', maxPipelinedRequests: '65'}), ['--max-pipelined-requests is 65: expected at most --max-open-requests (64)']);
	t.match(problemsOf({maxUnreadBytes: '1'}), [/--max-unread-bytes .* expected a whole number from 1048576/v]);
});
