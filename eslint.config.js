import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/**', 'node_modules/**', 'target/**'] },
  ...tseslint.configs.recommendedTypeChecked,
  {
    files: ['src/**/*.ts', 'tests/**/*.ts', 'platform/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-assertions': ['error', { assertionStyle: 'never' }],
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/unbound-method': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      'no-restricted-syntax': [
        'error',
        { selector: 'ClassDeclaration', message: 'Modules are object literals.' },
        {
          selector: "Identifier[name='Date']",
          message: 'Wall clocks decide nothing; only the log, a library, reads one.',
        },
        { selector: "MemberExpression[object.name='performance']", message: 'Time is whole microseconds of a Clock.' },
      ],
      'id-denylist': ['error', 'any'],
      'prefer-const': 'error',
    },
  },
);
