import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, noStyle: true, ignores: ['**/dist/**', 'packages/protocol/gen/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }]
    }
  }
]
