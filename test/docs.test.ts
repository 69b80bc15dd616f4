import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import t from 'tap';
import {createOperatorProgram, referencePages} from '@bitternpaddle/cli';
import {
	createDaemonProgram, createDevCluster, environmentName, settingDefinitions,
} from '@bitternpaddle/daemon';
import {parseStatement} from '@bitternpaddle/protocol';
import {logEvents} from '@bitternpaddle/transport';

const folder = 'docs/operations';

const readPages = async (): Promise<Map<string, string>> => {
	const files = ['README.md', ...(await readdir(folder)).map(name => `${folder}/${name}`)];
	return new Map(await Promise.all(files.map(async file => [file, await readFile(file, 'utf8')] as const)));
};

t.test('the generated pages are current (otherwise run: npm run reference)', async t => {
	for (const [name, text] of Object.entries(referencePages())) {
		t.equal(await readFile(path.join(folder, name), 'utf8'), text, name);
	}
});

/** Flags of other programs that the pages may name. */
const foreignFlags = new Set(['--expose-gc']);

t.test('every flag, variable, event and command in the pages exists', async t => {
	const definitions = [...createOperatorProgram().definitions(), ...createDaemonProgram().definitions()];
	const flags = new Set(definitions.flatMap(({options}) => options.flatMap(option => option.definition.match(/--[a-z][a-z\-]*/gv) ?? [])));
	const variables = new Set([...Object.values(settingDefinitions).map(({name}) => environmentName(name)), 'BITTERNPADDLE_ADDRESS', 'BITTERNPADDLE_TOKEN']);
	const scripts = new Set(Object.keys((JSON.parse(await readFile('package.json', 'utf8')) as {scripts: Record<string, string>}).scripts));
	const paths = new Set(definitions.map(definition => definition.path));
	for (const [file, text] of await readPages()) {
		const wrong = [
			...[...text.matchAll(/(?<![\w\-])--[a-z][a-z\-]+/gv)].map(found => found[0]).filter(flag => !flags.has(flag) && !foreignFlags.has(flag) && flag !== '--help'),
			...[...text.matchAll(/BITTERNPADDLE_[A-Z_]+/gv)].map(found => found[0]).filter(name => !variables.has(name)),
			...[...text.matchAll(/BP\d{4}/gv)].map(found => found[0]).filter(event => !(event in logEvents)),
			...[...text.matchAll(/npm run (?<script>[\w\-]+)/gv)].map(found => found.groups!.script!).filter(script => !scripts.has(script)),
			...[...text.matchAll(/(?<program>bitternpaddled?)(?:\.js)? (?<command>report burn|manifest create|[a-z]+)(?=[\s`"])/gv)]
				.map(({groups}) => `${groups!.program} ${groups!.command}`)
				.filter(command => !paths.has(command)),
		];
		t.same(wrong, [], file);
	}
});

t.test('every line of the language in the pages parses', async t => {
	let count = 0;
	for (const [file, text] of await readPages()) {
		for (const {groups} of text.matchAll(/\b(?:query|run)(?: --[\w\-]+)*(?: \$F)? "(?<line>[^"]+)"/gv)) {
			const line = groups!.line!.replace(/sha256:(?:\.\.\.|\$\w+)/v, `sha256:${'0'.repeat(64)}`);
			t.ok(parseStatement(line).isRight(), `${file}: ${line}`);
			count++;
		}
	}

	t.ok(count >= 10, 'lines were found');
});

t.test('the page of errors lists exactly the existing types of errors', async t => {
	const source = await readFile('packages/protocol/src/http/error-body.ts', 'utf8');
	const types = /readonly type: (?<types>[^;]+);/v.exec(source)!.groups!.types!.match(/\w+/gv)!;
	const page = await readFile(`${folder}/errors.md`, 'utf8');
	const rows = [...page.matchAll(/^\| `(?<type>[a-z_]+)` \| \d{3}/gmv)].map(found => found.groups!.type!);
	t.same(rows.toSorted(), types.toSorted());
});

/** Statements in tables and code blocks: code that begins with a verb of the language and contains no placeholder in capitals. */
t.test('statements in the pages parse', async t => {
	let count = 0;
	for (const name of ['migration.md', 'burn.md', 'host-replacement.md', 'errors.md']) {
		const text = await readFile(path.join(folder, name), 'utf8');
		for (const {groups} of text.matchAll(/(?:`|^)(?<line>(?:create|load|move|drain|undrain|evacuate|restore|stop|withdraw|set|show|explain) [a-z][^`\n]*)(?:`|$)/gmv)) {
			t.ok(parseStatement(groups!.line!).isRight(), `${name}: ${groups!.line}`);
			count++;
		}
	}

	t.ok(count >= 15, 'statements were found');
});

t.test('links between pages have existing targets', async t => {
	for (const [file, text] of await readPages()) {
		for (const {groups} of text.matchAll(/\]\((?<target>[^\)#:]+)\)/gv)) {
			await t.resolves(readdir(path.dirname(path.join(path.dirname(file), groups!.target!))).then(async names => {
				const name = path.basename(groups!.target!);
				if (name !== '' && !names.includes(name)) {
					throw new Error(`${file}: ${groups!.target}`);
				}
			}), `${file}: ${groups!.target}`);
		}
	}
});

t.test('the README links to every page of the folder', async t => {
	const readme = await readFile('README.md', 'utf8');
	for (const name of await readdir(folder)) {
		t.ok(readme.includes(`${folder}/${name}`), name);
	}
});

t.test('the README names the version that `npm start` publishes at its origin', async t => {
	const cluster = await createDevCluster({controls: 1, entries: 1, engines: 0});
	t.teardown(async () => cluster.close());
	t.ok((await readFile('README.md', 'utf8')).includes(cluster.manifestIds[0]!));
});
