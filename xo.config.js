/** Packages by layer; each may import only from those before it. */
const layers = ['state', 'protocol', 'coordination', 'model', 'transport', 'test-support', 'daemon', 'gateway', 'cli', 'bench'];

const layerRules = layers.map((layer, index) => ({
	files: [`packages/${layer}/src/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {
			patterns: layers.slice(index + 1).map(above => ({
				group: [`@bitternpaddle/${above}`],
				message: `${layer} lies below ${above}.`,
			})),
		}],
	},
}));

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['packages/*/generated/**', '.test-dist/**', 'tap-snapshots/**', 'test/golden/**']},
	{
		rules: {
			// One step after the other is what loops over disks and hosts mean here.
			'no-await-in-loop': 'off',
			// The names in OpenAI's protocol and in HTTP headers are not ours.
			'@typescript-eslint/naming-convention': 'off',
			// Codecs' constructors are functions with capitals: purify-ts' Left and Right, clipanion's options.
			'new-cap': ['error', {capIsNew: false}],
			// What crosses a boundary is checked by zod; the rest is a narrowing that the types cannot express.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'unicorn/no-await-expression-member': 'off',
			// Node's http hands out Buffers, and its own types say so.
			'@typescript-eslint/no-restricted-types': 'off',
			'@typescript-eslint/member-ordering': 'off',
			// The two programs are private to the workspace.
			'n/no-unpublished-bin': 'off',
			'max-params': ['warn', 5],
			// Workspace packages are resolved by the build, which the linter does not run.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			'n/no-unsupported-features/node-builtins': 'off',
		},
	},
	{
		files: ['test/**/*.ts', 'packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
		languageOptions: {parserOptions: {project: 'tsconfig.test.json', projectService: false, tsconfigRootDir: import.meta.dirname}},
		rules: {
			// Tap collects the promises of its tests itself.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
	...layerRules,
];

export default config;
