import type { ConfigIssue } from './types.js'
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml'
import type { ParsedNode } from 'yaml'

/** Setting or removal of a value by one file. */
export interface Assignment {
  readonly file: string
  /** Line number, from 1. */
  readonly line: number
  readonly kind: 'map' | 'list' | 'scalar' | 'removed'
  /** Value as written in the file; undefined for maps and removals. */
  readonly value?: unknown
}

/** Value of the merged configuration with its origin. */
export interface MergedNode {
  /** All assignments to the value in merge order; the last one takes effect. */
  readonly history: readonly Assignment[]
  /** Entries of a map, including removed ones. */
  readonly children: ReadonlyMap<string, MergedNode>
  /** Line number of each entry of a list. */
  readonly entryLines: readonly number[]
}

export interface MergedConfig {
  readonly root: MergedNode
  /** Merged configuration as plain data. */
  readonly value: unknown
  /**
   * Issues found while reading the files. A file that isn't a valid YAML map is left out of the merge, an invalid key is
   * skipped, and an alias counts as null.
   */
  readonly issues: readonly ConfigIssue[]
}

interface FileContext {
  readonly file: string
  readonly lineCounter: LineCounter
  readonly issues: ConfigIssue[]
}

const emptyNode: MergedNode = { history: [], children: new Map(), entryLines: [] }

/**
 * Merges YAML files in the order of their names, compared by code unit so that the order doesn't depend on the locale.
 * Maps are merged recursively, lists and scalars replace the earlier value, and `null` removes it.
 */
export function mergeConfigFolder (files: Readonly<Record<string, string>>): MergedConfig {
  const issues: ConfigIssue[] = []
  let root = emptyNode
  for (const file of Object.keys(files).sort()) {
    root = mergeFile(root, file, files[file] ?? '', issues)
  }
  return { root, value: mergedToValue(root) ?? {}, issues }
}

function mergeFile (root: MergedNode, file: string, text: string, issues: ConfigIssue[]): MergedNode {
  const lineCounter = new LineCounter()
  const ctx: FileContext = { file, lineCounter, issues }
  const doc = parseDocument(text, { lineCounter, prettyErrors: false, stringKeys: false })
  for (const error of doc.errors) {
    issues.push({ file, line: lineCounter.linePos(error.pos[0]).line, path: '', reason: `is not valid YAML: ${error.message}` })
  }
  if (doc.errors.length > 0 || doc.contents === null) return root
  if (isScalar(doc.contents) && doc.contents.value === null) return root
  if (!isMap(doc.contents)) {
    issues.push({ file, line: lineOf(ctx, doc.contents), path: '', reason: 'must be a map at the top level', allowed: 'lines such as "cell: my-cell"' })
    return root
  }
  return mergeNode(root, doc.contents, lineOf(ctx, doc.contents), [], ctx)
}

function mergeNode (base: MergedNode, node: ParsedNode | null, line: number, path: readonly string[], ctx: FileContext): MergedNode {
  if (isMap(node)) return mergeMap(base, node.items, line, path, ctx)
  const location = { file: ctx.file, line }
  if (isSeq(node)) {
    const values = node.items.map(item => yamlToValue(item as ParsedNode | null, path, ctx))
    const entryLines = node.items.map(item => lineOf(ctx, item as ParsedNode | null) || line)
    return { history: [...base.history, { ...location, kind: 'list', value: values }], children: markRemoved(base.children, location), entryLines }
  }
  const value = yamlToValue(node, path, ctx)
  const assignment: Assignment = value === null ? { ...location, kind: 'removed' } : { ...location, kind: 'scalar', value }
  return { history: [...base.history, assignment], children: markRemoved(base.children, location), entryLines: [] }
}

function mergeMap (base: MergedNode, items: ReadonlyArray<{ readonly key: unknown, readonly value: unknown }>, line: number, path: readonly string[], ctx: FileContext): MergedNode {
  const children = new Map(base.children)
  for (const { key, value } of items) {
    const keyNode = key as ParsedNode | null
    const keyLine = lineOf(ctx, keyNode) || line
    if (!isScalar(keyNode) || keyNode.value === null || typeof keyNode.value === 'object') {
      ctx.issues.push({ file: ctx.file, line: keyLine, path: path.join('.'), reason: 'has a key that is not a plain name', allowed: 'a name' })
      continue
    }
    const name = String(keyNode.value)
    children.set(name, mergeNode(children.get(name) ?? emptyNode, value as ParsedNode | null, keyLine, [...path, name], ctx))
  }
  return { history: [...base.history, { file: ctx.file, line, kind: 'map' }], children, entryLines: [] }
}

/** Marks all descendants of a replaced or removed map as removed by the same assignment. */
function markRemoved (children: ReadonlyMap<string, MergedNode>, location: { readonly file: string, readonly line: number }): ReadonlyMap<string, MergedNode> {
  return new Map([...children].map(([name, child]) => [name, {
    history: [...child.history, { ...location, kind: 'removed' as const }],
    children: markRemoved(child.children, location),
    entryLines: []
  }]))
}

/** Converts a scalar, or a node inside a list, to plain data. */
function yamlToValue (node: ParsedNode | null, path: readonly string[], ctx: FileContext): unknown {
  if (node === null) return null
  if (isAlias(node)) {
    ctx.issues.push({ file: ctx.file, line: lineOf(ctx, node), path: path.join('.'), reason: 'uses a YAML alias, which is not supported', allowed: 'the value itself' })
    return null
  }
  if (isSeq(node)) return node.items.map(item => yamlToValue(item as ParsedNode | null, path, ctx))
  if (isMap(node)) {
    return Object.fromEntries(node.items.map(({ key, value }) =>
      [String(isScalar(key) ? key.value : key), yamlToValue(value as ParsedNode | null, path, ctx)]))
  }
  return node.value
}

function lineOf (ctx: FileContext, node: ParsedNode | null): number {
  return node?.range ? ctx.lineCounter.linePos(node.range[0]).line : 0
}

/** Converts a merged node to plain data; undefined if it is not set or was removed. */
export function mergedToValue (node: MergedNode): unknown {
  const lastAssignment = node.history.at(-1)
  if (lastAssignment === undefined || lastAssignment.kind === 'removed') return undefined
  if (lastAssignment.kind !== 'map') return lastAssignment.value
  const entries: Array<[string, unknown]> = []
  for (const [name, child] of node.children) {
    const value = mergedToValue(child)
    if (value !== undefined) entries.push([name, value])
  }
  // Unlike assignment, fromEntries makes `__proto__` an ordinary key, which the schema then rejects.
  return Object.fromEntries(entries)
}

/** Returns the node at `path`, even if its value was removed. */
export function findNode (root: MergedNode, path: readonly string[]): MergedNode | undefined {
  let node: MergedNode | undefined = root
  for (const name of path) node = node?.children.get(name)
  return node
}
