import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  {
    ignores: [
      '**/dist/**', 'target/**', '**/*.d.mts', '**/generated/**', 'node_modules/**', 'coverage/**', 'bench/out/**',
      'vitest.config.ts',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  {
    rules: {
      // Modules export by name, as the packages' index files gather them.
      'import-x/prefer-default-export': 'off',
      // NodeNext wants the extension of the built file.
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      // A class that implements an interface has methods that need no state; the rule of the same
      // name in @typescript-eslint knows this.
      'class-methods-use-this': 'off',
      '@stylistic/max-len': ['error', 100, 2, {
        ignoreUrls: true,
        ignoreComments: false,
        ignoreRegExpLiterals: true,
        ignoreStrings: true,
        ignoreTemplateLiterals: true,
      }],
      // Handlers of Node.js set properties of the response given to them.
      'no-param-reassign': ['error', { props: true, ignorePropertyModificationsFor: ['res'] }],
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/class-methods-use-this': ['error', {
        ignoreClassesThatImplementAnInterface: true, ignoreOverrideMethods: true,
      }],
      // The rule does not see that an instance of modern-errors is an Error.
      '@typescript-eslint/only-throw-error': 'off',
      'no-throw-literal': 'error',
    },
  },
  {
    // Commands are small classes that are read side by side.
    files: [
      'packages/*/src/commands/**', 'packages/stand-ins/src/bin.ts', 'packages/core/src/clock/**',
    ],
    rules: { 'max-classes-per-file': 'off' },
  },
  {
    // The stand-in model is bit mixing.
    files: ['packages/stand-ins/src/engine/**'],
    rules: { 'no-bitwise': 'off' },
  },
  {
    // Writes docs before the packages are built.
    files: ['scripts/docs.ts'],
    rules: { 'import-x/no-relative-packages': 'off' },
  },
  {
    files: ['scripts/**', 'test/**', 'bench/**', '*.config.*', 'packages/stand-ins/src/**'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      'n/no-sync': 'off',
      'no-await-in-loop': 'off',
    },
  },
];
