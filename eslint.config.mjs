/** Lint rules: the Google TypeScript Style Guide, then the house rules. */
import jsdoc from 'eslint-plugin-jsdoc';
import * as tseslint from 'typescript-eslint';

const NAMESPACE_IMPORTS = [
  {
    selector: 'ImportDeclaration > ImportSpecifier',
    message: 'Import a namespace: import * as name from ...',
  },
  {
    selector: 'ImportDeclaration > ImportDefaultSpecifier',
    message: 'Import a namespace: import * as name from ...',
  },
  {
    selector: 'ExportDefaultDeclaration',
    message: 'Export by name.',
  },
  {
    selector: 'TSEnumDeclaration[const=true]',
    message: 'const enums are not used.',
  },
];

const NAMING = [
  {selector: 'typeLike', format: ['PascalCase']},
  {selector: 'function', format: ['camelCase']},
  {selector: 'variable', format: ['camelCase', 'UPPER_CASE']},
  {selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'forbid'},
  {selector: 'classMethod', format: ['camelCase']},
  {selector: 'classProperty', format: ['camelCase', 'UPPER_CASE']},
];

const PUBLIC_DOCS = {
  publicOnly: true,
  require: {
    ClassDeclaration: true,
    FunctionDeclaration: true,
    MethodDefinition: false,
  },
  contexts: [
    'ExportNamedDeclaration > TSInterfaceDeclaration',
    'ExportNamedDeclaration > TSTypeAliasDeclaration',
    'ExportNamedDeclaration > VariableDeclaration',
  ],
  checkConstructors: false,
};

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'out/**',
      'target/**',
      '**/*.mjs',
    ],
  },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {jsdoc},
    rules: {
      'no-restricted-syntax': ['error', ...NAMESPACE_IMPORTS],
      '@typescript-eslint/naming-convention': ['error', ...NAMING],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {caughtErrors: 'none', ignoreRestSiblings: true},
      ],
      'jsdoc/require-jsdoc': ['error', PUBLIC_DOCS],
      'jsdoc/require-file-overview': 'off',
      'jsdoc/check-alignment': 'error',
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-var': 'error',
      'prefer-const': 'error',
      'max-lines': ['error', {max: 400, skipComments: true}],
      'max-lines-per-function': ['error', {max: 70, skipComments: true}],
    },
  },
  {
    files: ['**/tests/**'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'max-lines-per-function': 'off',
    },
  },
);
