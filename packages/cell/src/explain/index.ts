export { JobExplainer, KEY_MISSING, KEY_UNKNOWN, NO_QUEUE } from './jobExplainer.js'
export { LeaderExplainer } from './leaderExplainer.js'
export type { ExplainQuestion, ExplainSubject, Explanation, JobObstacle, Known, LeaderAnswer } from './types.js'
