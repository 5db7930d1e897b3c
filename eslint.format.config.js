import neostandard from 'neostandard'

// Keeps only the formatting rules of the Standard style; eslint.config.js has the other rules.
const formatRules = ([name]) => name.startsWith('@stylistic/')

export default neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'journal/**', 'packages/protocol/gen/**'] })
  .map(config => config.rules
    ? { ...config, rules: Object.fromEntries(Object.entries(config.rules).filter(formatRules)) }
    : config)
