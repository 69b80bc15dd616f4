import t from 'tap';
import {parseStatement} from '@bitternpaddle/protocol';

t.test('statements', async t => {
	const lines = [
		'create model pitch-desk',
		`create version pitch-desk:v2 from manifest sha256:${'0'.repeat(64)}`,
		'create fleet fair-mornings provider new for pitch-desk:v2 replicas 40 in tacoma-hall, salem-hall',
		'create team marshals key open-sesame share 3',
		'load pitch-desk:v2 on fleet fair-mornings',
		'move 20% of pitch-desk from fleet old to fleet fair-mornings',
		'move 50% of pitch-desk from fleet old to fleet fair-mornings in steps of 10% every 30 s stopping above 2.5%',
		'move 50% of pitch-desk from fleet old to fleet fair-mornings in steps of 10%',
		'stop move of pitch-desk',
		'resume move of pitch-desk',
		'roll back move of pitch-desk',
		'set replicas of fleet fair-mornings to 12',
		'retire fleet old',
		'retire version pitch-desk:v1',
		'create fleet wide provider new for pitch-desk:v2 replicas 9 in tacoma-hall at most 3 per zone capacity 4',
		'show moves where state = running',
		'drain host h17',
		'show replicas where version = pitch-desk:v2 and zone = puget-a',
		'show requests in flight',
		'set objective for service bp-writers whole 99.9% first token 95% within 1000 ms',
		'show hosts where revision < 812',
	];
	for (const line of lines) {
		t.matchSnapshot(parseStatement(line).extract(), line);
	}
});

t.test('an error names the place and what was expected there', async t => {
	for (const line of ['', 'drain', 'drain hots h1', 'load v2 on fleet f', 'show replicas where zone ~ a', 'create model -x']) {
		t.matchSnapshot(parseStatement(line).extract(), line);
	}
});
