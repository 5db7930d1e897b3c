interface ProfileNode {
  readonly id: number
  readonly callFrame: { readonly functionName: string, readonly url: string, readonly lineNumber: number, readonly columnNumber: number }
  readonly children?: readonly number[]
}

interface Profile {
  readonly nodes: readonly ProfileNode[]
  readonly samples: readonly number[]
  readonly timeDeltas: readonly number[]
}

const MAX_ROWS = 45

/** Lists the functions of a V8 processor profile by their own time, each with its share of the busy time and the share with its callees. */
export function summarizeProfile (text: string): readonly string[] {
  const { nodes, samples, timeDeltas } = JSON.parse(text) as Profile
  const byId = new Map(nodes.map(node => [node.id, node]))
  const parents = new Map(nodes.flatMap(node => (node.children ?? []).map(child => [child, node.id] as const)))
  const own = new Map<string, number>()
  const total = new Map<string, number>()
  let busy = 0
  samples.forEach((id, index) => {
    const micros = timeDeltas[index] ?? 0
    const name = nameOf(byId.get(id))
    if (name.startsWith('(idle)') || name.startsWith('(program)')) return
    busy += micros
    own.set(name, (own.get(name) ?? 0) + micros)
    const seen = new Set<string>()
    for (let current: number | undefined = id; current !== undefined; current = parents.get(current)) seen.add(nameOf(byId.get(current)))
    for (const caller of seen) total.set(caller, (total.get(caller) ?? 0) + micros)
  })
  const percent = (micros: number) => `${(100 * micros / busy).toFixed(1)}%`.padStart(6)
  const rowsOf = (times: ReadonlyMap<string, number>) => [...times].sort((a, b) => b[1] - a[1]).slice(0, MAX_ROWS)
  return [
    `busy ${(busy / 1e6).toFixed(2)} s`,
    'own time, with callees:',
    ...rowsOf(own).map(([name, micros]) => `${percent(micros)} ${percent(total.get(name) ?? 0)} ${name}`),
    'with callees:',
    ...rowsOf(total).map(([name, micros]) => `${percent(micros)} ${name}`)
  ]
}

function nameOf (node: ProfileNode | undefined): string {
  if (node === undefined) return '(unknown)'
  const { functionName, url, lineNumber } = node.callFrame
  return `${functionName === '' ? '(anonymous)' : functionName} ${url.split('/').slice(-2).join('/')}:${lineNumber + 1}`
}
