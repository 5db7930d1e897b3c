import type { ConfigIssue } from './types.js'
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml'
import type { ParsedNode } from 'yaml'

/** One file's statement about a value. */
export interface Assignment {
  readonly file: string
  /** Counted from 1. */
  readonly line: number
  readonly kind: 'map' | 'list' | 'scalar' | 'removed'
  /** Value as written; undefined for maps and removals. */
  readonly value?: unknown
}

/** A value of the merged folder and where it comes from. */
export interface MergedNode {
  /** All statements about the value, in the order of the merge; the last is in force. */
  readonly history: readonly Assignment[]
  /** Entries of a map, also removed ones. */
  readonly children: ReadonlyMap<string, MergedNode>
  /** Line of each entry of a list. */
  readonly entryLines: readonly number[]
}

export interface MergedConfig {
  readonly root: MergedNode
  /** Merged content as plain data. */
  readonly value: unknown
  /** Files that can't be read as YAML maps; their readable parts are merged all the same. */
  readonly issues: readonly ConfigIssue[]
}

interface FileContext {
  readonly file: string
  readonly lines: LineCounter
  readonly issues: ConfigIssue[]
}

const emptyNode: MergedNode = { history: [], children: new Map(), entryLines: [] }

/**
 * Merges YAML files in the order of their names (compared by code unit, the same on every machine):
 * maps merge deeply, lists and scalars are replaced, `null` removes.
 */
export function mergeConfigFolder (files: Readonly<Record<string, string>>): MergedConfig {
  const issues: ConfigIssue[] = []
  let root = emptyNode
  for (const file of Object.keys(files).sort()) {
    root = mergeFile(root, file, files[file] ?? '', issues)
  }
  return { root, value: toValue(root) ?? {}, issues }
}

function mergeFile (root: MergedNode, file: string, text: string, issues: ConfigIssue[]): MergedNode {
  const lines = new LineCounter()
  const ctx: FileContext = { file, lines, issues }
  const doc = parseDocument(text, { lineCounter: lines, prettyErrors: false, stringKeys: false })
  for (const error of doc.errors) {
    issues.push({ file, line: lines.linePos(error.pos[0]).line, path: '', reason: `is not valid YAML: ${error.message}` })
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
  const at = { file: ctx.file, line }
  if (isSeq(node)) {
    const values = node.items.map(item => plainValue(item as ParsedNode | null, path, ctx))
    const entryLines = node.items.map(item => lineOf(ctx, item as ParsedNode | null) || line)
    return { history: [...base.history, { ...at, kind: 'list', value: values }], children: removeAll(base.children, at), entryLines }
  }
  const value = plainValue(node, path, ctx)
  const assignment: Assignment = value === null ? { ...at, kind: 'removed' } : { ...at, kind: 'scalar', value }
  return { history: [...base.history, assignment], children: removeAll(base.children, at), entryLines: [] }
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

/** Marks everything below a replaced or removed map as removed at the same place. */
function removeAll (children: ReadonlyMap<string, MergedNode>, at: { readonly file: string, readonly line: number }): ReadonlyMap<string, MergedNode> {
  return new Map([...children].map(([name, child]) => [name, {
    history: [...child.history, { ...at, kind: 'removed' as const }],
    children: removeAll(child.children, at),
    entryLines: []
  }]))
}

/** Value of a scalar, or of anything inside a list. */
function plainValue (node: ParsedNode | null, path: readonly string[], ctx: FileContext): unknown {
  if (node === null) return null
  if (isAlias(node)) {
    ctx.issues.push({ file: ctx.file, line: lineOf(ctx, node), path: path.join('.'), reason: 'uses a YAML alias, which is not supported', allowed: 'the value itself' })
    return null
  }
  if (isSeq(node)) return node.items.map(item => plainValue(item as ParsedNode | null, path, ctx))
  if (isMap(node)) {
    return Object.fromEntries(node.items.map(({ key, value }) =>
      [String(isScalar(key) ? key.value : key), plainValue(value as ParsedNode | null, path, ctx)]))
  }
  return node.value
}

function lineOf (ctx: FileContext, node: ParsedNode | null): number {
  return node?.range ? ctx.lines.linePos(node.range[0]).line : 0
}

/** Plain data of a node, or undefined when it is absent or removed. */
export function toValue (node: MergedNode): unknown {
  const last = node.history.at(-1)
  if (last === undefined || last.kind === 'removed') return undefined
  if (last.kind !== 'map') return last.value
  const entries: Array<[string, unknown]> = []
  for (const [name, child] of node.children) {
    const value = toValue(child)
    if (value !== undefined) entries.push([name, value])
  }
  // Unlike assignment, fromEntries makes `__proto__` an ordinary key, which the schema then refuses.
  return Object.fromEntries(entries)
}

/** Returns the node at `path`, also when it is removed. */
export function findNode (root: MergedNode, path: readonly string[]): MergedNode | undefined {
  let node: MergedNode | undefined = root
  for (const name of path) node = node?.children.get(name)
  return node
}
