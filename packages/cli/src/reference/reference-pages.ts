import {createDaemonProgram, environmentName, settingDefinitions} from '@bitternpaddle/daemon';
import {statementForms, subjectFields} from '@bitternpaddle/protocol';
import type {Cli} from 'clipanion';
import {createOperatorProgram} from '../program.js';

const generatedNote = 'Generated from the code by `npm run reference`; a test checks that it is current.';

const cell = (text: string): string => text.replaceAll('|', String.raw`\|`).replaceAll('\n', ' ').trim();

const table = (columns: readonly string[], rows: ReadonlyArray<readonly string[]>): string => [
	`| ${columns.join(' | ')} |`,
	`| ${columns.map(() => '---').join(' | ')} |`,
	...rows.map(row => `| ${row.map(text => cell(text)).join(' | ')} |`),
].join('\n');

const settingsPage = (): string => [
	'# Settings',
	`Settings of \`bitternpaddled run\`. A flag takes precedence over its environment variable, which takes precedence over the default. ${generatedNote}`,
	table(['flag', 'environment variable', 'meaning', 'expected', 'default'], Object.values(settingDefinitions).map(({name, description, expected, defaultText}) => [
		`\`--${name}\``, `\`${environmentName(name)}\``, description, expected, defaultText === null ? 'required' : (defaultText === '' ? 'none' : `\`${defaultText}\``),
	])),
].join('\n\n') + '\n';

const commandsPage = (): string => [
	'# The operators\' language',
	`For \`bitternpaddle query\`, \`run\`, \`shell\`, \`script\` and the [administration API](admin-api.md). Names have at most 64 characters: letters, digits, ".", "-" and "_". ${generatedNote}`,
	'## Statements',
	table(['form', 'meaning', 'role of the token'], statementForms.map(({form, description, role}) => [`\`${form}\``, description, role])),
	'For example:',
	`\`\`\`\n${statementForms.map(({example}) => example).join('\n')}\n\`\`\``,
	'## Subjects and their fields',
	'Operators in conditions: `=`, `!=`, `<`, `<=`, `>`, `>=`; for true and false only `=` and `!=`.',
	table(['subject', 'fields'], Object.entries(subjectFields).map(([subject, fields]) => [
		subject === 'requests' ? '`requests in flight`' : `\`${subject}\``, Object.entries(fields).map(([field, type]) => `\`${field}\` (${type})`).join(', '),
	])),
].join('\n\n') + '\n';

const programSection = (program: Cli): string[] => program.definitions().toSorted((a, b) => a.path.localeCompare(b.path)).map(({path, usage, description, details, options}) => {
	const lines = [`## ${path}`, [description, details].filter(text => text !== undefined).join(' ').replaceAll(/\s+/gv, ' ').trim(), `\`${usage}\``];
	const rows = options.map(option => [`\`${option.definition.replace(/ #0$/v, ' VALUE')}\``, option.description ?? '']);
	return [...lines, ...(rows.length === 0 ? [] : [table(['flag', 'meaning'], rows)])].join('\n\n');
});

const programsPage = (): string => [
	'# The two programs',
	`Every command and flag. ${generatedNote}`,
	'Exit codes of `bitternpaddle`: 0 done, 1 refused, 2 invalid line or flags, 3 the entry or the control hosts cannot be reached, or a wait timed out.',
	...programSection(createOperatorProgram()),
	...programSection(createDaemonProgram()),
].join('\n\n') + '\n';

/** Pages of docs/operations that are generated from the code, by file name. */
export const referencePages = (): Record<string, string> => ({
	'settings.md': settingsPage(),
	'commands.md': commandsPage(),
	'programs.md': programsPage(),
});
