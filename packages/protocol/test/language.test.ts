import {readFile} from 'node:fs/promises';
import t from 'tap';
import {completeLine, parseStatement, statementForms} from '@bitternpaddle/protocol';

t.test('statements', async t => {
	const lines = [
		'create model pitch-desk',
		`create version pitch-desk:v2 from manifest sha256:${'0'.repeat(64)}`,
		'create fleet fair-mornings provider new for pitch-desk:v2 replicas 40 in tacoma-hall, salem-hall',
		'create team marshals key open-sesame share 3',
		'load pitch-desk:v2 on fleet fair-mornings',
		`create adapter pitch-desk:v2/menu-tone from manifest sha256:${'0'.repeat(64)}`,
		'load adapter pitch-desk:v2/menu-tone on fleet fair-mornings',
		'unload adapter pitch-desk:v2/menu-tone from fleet fair-mornings',
		'withdraw adapter pitch-desk:v2/menu-tone',
		'retire adapter pitch-desk:v2/menu-tone',
		'show adapters where adapter = pitch-desk:v2/menu-tone',
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
		'evacuate zone salem-hall',
		'restore zone salem-hall',
		'show zones where evacuated = true',
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
	for (const line of [
		'',
		'drain',
		'drain hots h1',
		'load v2 on fleet f',
		'load adapter menu-tone on fleet f',
		'load adapter pitch-desk:v2 on fleet f',
		'show replicas where zone ~ a',
		'create model -x',
	]) {
		t.matchSnapshot(parseStatement(line).extract(), line);
	}
});

t.test('an error about a condition names the place of the condition', async t => {
	for (const line of ['show hosts where role = agent and revision < soon', 'show replicas where colour = red', 'show replicas where ready > true', 'show requests in flight where ageMs >= 10s']) {
		t.matchSnapshot(parseStatement(line).extract(), line);
	}
});

t.test('completions follow from the grammar', async t => {
	const cases: Array<[string, readonly string[]]> = [
		['', ['create', 'drain', 'evacuate', 'explain', 'load', 'move', 'restore', 'resume', 'retire', 'roll', 'set', 'show', 'stop', 'undrain', 'unload', 'withdraw']],
		['s', ['set', 'show', 'stop']],
		['load ', ['adapter']],
		['unload ', ['adapter']],
		['withdraw ', ['adapter', 'version']],
		['show ad', ['adapters']],
		['show adapters where r', ['ready']],
		['show re', ['replicas', 'requests', 'revision']],
		['show requests ', ['in']],
		['show hosts w', ['where']],
		['show hosts where r', ['revision', 'role']],
		['show hosts where role ', ['!=', '<', '<=', '=', '>', '>=']],
		['create service gate-log ', ['not-repeatable', 'repeatable']],
		['drian ho', []],
		['drain host h1', []],
	];
	for (const [line, candidates] of cases) {
		t.same(completeLine(line).candidates, candidates, JSON.stringify(line));
	}

	t.equal(completeLine('show re').word, 're');
});

t.test('every statement form has an example that parses, and every statement of the grammar has a form', async t => {
	const types = new Set(statementForms.map(({example, form}) => {
		const statement = parseStatement(example).caseOf({
			Left(error) {
				throw new Error(`${form}: ${error.message}`);
			},
			Right: parsed => parsed,
		});
		return statement.type === 'change' ? statement.change.type : statement.type;
	}));
	const grammar = await readFile('packages/protocol/src/language/command.peggy', 'utf8');
	const typesInGrammar = new Set([...grammar.matchAll(/type: '(\w+)'|return '(\w+)'/gv)].map(found => found[1] ?? found[2]!));
	t.same([...types].toSorted(), [...typesInGrammar].map(type => type === 'show' ? 'query' : type).toSorted());
});
