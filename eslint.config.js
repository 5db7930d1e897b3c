import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, noStyle: true, ignores: ['**/dist/**', 'target/**', 'journal/**', 'packages/protocol/gen/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }]
    }
  }
]
