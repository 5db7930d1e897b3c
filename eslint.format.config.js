import neostandard from 'neostandard'

// Formatting rules of Standard style only; eslint.config.js holds the other rules.
const formatRules = ([name]) => name.startsWith('@stylistic/')

export default neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'journal/**', 'packages/protocol/gen/**'] })
  .map(config => config.rules
    ? { ...config, rules: Object.fromEntries(Object.entries(config.rules).filter(formatRules)) }
    : config)
