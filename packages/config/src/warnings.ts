import type { ConfigWarning } from '@citronnotch/protocol'
import type { ResolvedCellConfig } from './schema.js'

export interface ResourceUsage {
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** What runs in the cell now, as far as the asked daemon knows. */
export interface CellUsage {
  /** Resources that each team's tasks occupy. */
  readonly teams: Readonly<Record<string, ResourceUsage>>
  /** Running tasks of each service. */
  readonly services: Readonly<Record<string, number>>
  /** Running tasks in each failure domain. */
  readonly failureDomains: Readonly<Record<string, number>>
}

const RESOURCES = ['cores', 'memoryMb', 'accelerators'] as const

/** Lists what a valid configuration would break in running work. */
export function warningsFor (config: ResolvedCellConfig, usage: CellUsage): readonly ConfigWarning[] {
  return [
    ...Object.entries(usage.teams).flatMap(([team, used]) => teamWarnings(config, team, used)),
    ...removed(usage.services, config.services, 'services', 'service'),
    ...removed(usage.failureDomains, config.failureDomains, 'failureDomains', 'failure domain')
  ]
}

function teamWarnings (config: ResolvedCellConfig, team: string, used: ResourceUsage): readonly ConfigWarning[] {
  if (RESOURCES.every(resource => used[resource] === 0)) return []
  if (!Object.hasOwn(config.teams, team)) {
    return [{ path: `teams.${team}`, reason: `team "${team}" is removed while its tasks use ${used.cores} cores` }]
  }
  const quota = config.teams[team]?.quota ?? {}
  return RESOURCES.flatMap(resource => {
    const limit = quota[resource]
    if (limit === undefined || used[resource] <= limit) return []
    return [{ path: `teams.${team}.quota.${resource}`, reason: `quota ${limit} is below the ${used[resource]} that the team uses` }]
  })
}

function removed (running: Readonly<Record<string, number>>, known: Readonly<Record<string, unknown>>, map: string, noun: string): readonly ConfigWarning[] {
  return Object.entries(running)
    .filter(([name, tasks]) => tasks > 0 && !Object.hasOwn(known, name))
    .map(([name, tasks]) => ({ path: `${map}.${name}`, reason: `${noun} "${name}" is removed while ${tasks} of its tasks are running` }))
}
