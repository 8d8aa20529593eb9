import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';

const noIndexFiles = {
  selector: 'Program',
  message: 'Index files are not used; name files for their class or topic.',
};

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  { rules: prettier.rules },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: false, project: './tsconfig.tests.json' },
    },
    settings: {
      // The "source" condition resolves the workspace's packages before anything is built.
      'import-x/resolver-next': [
        createTypeScriptImportResolver({
          project: './tsconfig.tests.json',
          conditionNames: ['source', 'types', 'node', 'import', 'require', 'default'],
        }),
      ],
    },
    rules: {
      // A task is straight-line code, so its loops await and may run without an end.
      'no-await-in-loop': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use for...of over Object.keys or Object.entries.' },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
        { selector: 'WithStatement', message: '`with` is not allowed in strict mode.' },
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
        { selector: 'ExportDefaultDeclaration', message: 'Use named exports.' },
        { selector: 'ThrowStatement > Literal', message: 'Throw a RelayError.' },
        { selector: 'ThrowStatement > TemplateLiteral', message: 'Throw a RelayError.' },
        {
          selector: "ThrowStatement > NewExpression[callee.name='Error']",
          message: 'Throw a RelayError.',
        },
      ],
      // Overrides of abstract methods need not use their instance.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      // Kinds of one abstract class may stand in one file.
      'max-classes-per-file': 'off',
      'no-bitwise': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      'import-x/order': [
        'error',
        {
          groups: ['builtin', ['external', 'internal'], ['parent', 'sibling'], 'type'],
          pathGroups: [
            { pattern: 'hickoryrelay{,-*}/**', group: 'external', position: 'after' },
            { pattern: 'hickoryrelay{,-*}/**', group: 'type' },
          ],
          pathGroupsExcludedImportTypes: ['type'],
          'newlines-between': 'ignore',
          alphabetize: { order: 'asc', caseInsensitive: true },
        },
      ],
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    // Only `platform/` knows the words of the users' platform; nothing else imports from it.
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: ['hickoryrelay-machines/*', '**/platform/src/*'] },
      ],
    },
  },
  {
    files: ['**/index.ts', '**/index.mts'],
    rules: { 'no-restricted-syntax': ['error', noIndexFiles] },
  },
  {
    files: ['*.mjs', 'vitest.config.ts'],
    rules: {
      'import-x/no-default-export': 'off',
      'no-restricted-syntax': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-unsupported-features/es-syntax': 'off',
    },
  },
];
