/**
 * XO settings. Each rule that is off gives way to a line of the house style
 * that stands above XO (docs/GLOSSARY.md lists them) or to the kind of code
 * that stands here.
 */
const config = [
	// This file is in no TypeScript project, which XO's parser asks for in
	// some folders.
	{ignores: ['packages/*/dist/**', 'platform/dist/**', 'target/**', 'spec/build/**', 'xo.config.js']},
	{
		prettier: true,
		space: false,
		rules: {
			// Short names by custom: req, res, cfg, err.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Steps that must follow one another are awaited one by one.
			'no-await-in-loop': 'off',
			// Decisions return null-free unions, but JSON on the wire has null.
			'@typescript-eslint/no-restricted-types': 'off',
			// Header names and error kinds are keys with dashes.
			'@typescript-eslint/naming-convention': 'off',
			// Tap's promise of a test is awaited by its runner.
			'@typescript-eslint/no-floating-promises': [
				'error',
				{
					allowForKnownSafeCalls: [
						{from: 'package', package: '@tapjs/core', name: ['test']},
					],
				},
			],
		},
	},
	{
		files: ['**/*.test.ts', '**/*.test.fixture.ts'],
		rules: {
			'@typescript-eslint/no-floating-promises': 'off',
			'max-nested-callbacks': 'off',
			// Test libraries stand in the workspace's own package.json.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		files: ['packages/bench/src/frame/random.ts'],
		rules: {'no-bitwise': 'off'},
	},
	{
		files: ['packages/bench/**/*.ts', 'packages/cli/**/*.ts'],
		rules: {'unicorn/no-process-exit': 'off', 'no-console': 'off'},
	},
];

export default config;
