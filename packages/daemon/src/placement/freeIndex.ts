import type { Vector } from './vector.js'
import { fits } from './vector.js'

/** What the index needs to know of an entry. */
export interface Indexed {
  /** Resources that new tasks may take; may be negative. */
  readonly available: Readonly<Vector>
  /** Position in the index, owned by the index. */
  slot: Slot | undefined
}

interface Slot { readonly grid: Grid<Indexed>, readonly row: number, readonly column: number, position: number }

const LEVELS = 128
const WORDS = LEVELS / 32
const MAX_ACCELERATOR_LEVEL = 8
/** Entries examined in a cell whose range straddles the demand before cells that fit for certain are tried. */
const STRADDLING_PROBES = 32

/**
 * Entries bucketed by available accelerators, cores and memory, with four buckets per doubling.
 * A search visits only non-empty buckets that can fit.
 */
export class FreeIndex<T extends Indexed> {
  private readonly grids: Array<Grid<T> | undefined> = []

  private constructor () {}

  static create<T extends Indexed> (): FreeIndex<T> {
    return new FreeIndex<T>()
  }

  /** Adds an entry, or moves it to the bucket of its present availability. */
  update (entry: T): void {
    const { cores, memory, accelerators } = entry.available
    const grid = this.gridAt(Math.max(0, Math.min(MAX_ACCELERATOR_LEVEL, accelerators)))
    const row = levelOf(cores)
    const column = levelOf(memory)
    const slot = entry.slot
    if (slot !== undefined) {
      if (slot.grid === grid as unknown && slot.row === row && slot.column === column) return
      this.remove(entry)
    }
    grid.insert(entry, row, column)
  }

  remove (entry: T): void {
    entry.slot?.grid.remove(entry)
  }

  /**
   * Collects up to `limit` entries that fit and that `accept` accepts into `found`, from the tightest buckets
   * or from the loosest. Finds at least one if any exists.
   */
  collect (demand: Readonly<Vector>, limit: number, tightest: boolean, found: T[], accept: (entry: T) => boolean): void {
    const first = Math.min(MAX_ACCELERATOR_LEVEL, demand.accelerators)
    for (let level = first; level <= MAX_ACCELERATOR_LEVEL && found.length < limit; level++) {
      this.grids[level]?.collect(demand, limit, tightest, found, accept)
    }
  }

  private gridAt (level: number): Grid<T> {
    this.grids[level] ??= new Grid<T>()
    return this.grids[level]
  }
}

/** Entries of one accelerator level by cores (row) and memory (column). */
class Grid<T extends Indexed> {
  private readonly cells: T[][] = Array.from({ length: LEVELS * LEVELS })
  private readonly rowMask = new Uint32Array(WORDS)
  private readonly columnMasks = new Uint32Array(WORDS * LEVELS)

  insert (entry: T, row: number, column: number) {
    const cell = this.cells[row * LEVELS + column] ??= []
    entry.slot = { grid: this as unknown as Grid<Indexed>, row, column, position: cell.length }
    cell.push(entry)
    setBit(this.columnMasks, row * WORDS, column)
    setBit(this.rowMask, 0, row)
  }

  remove (entry: T) {
    const { row, column, position } = entry.slot!
    const cell = this.cells[row * LEVELS + column]!
    const last = cell.pop()!
    if (last !== entry) {
      cell[position] = last
      last.slot!.position = position
    }
    entry.slot = undefined
    if (cell.length > 0) return
    clearBit(this.columnMasks, row * WORDS, column)
    for (let word = 0; word < WORDS; word++) if (this.columnMasks[row * WORDS + word] !== 0) return
    clearBit(this.rowMask, 0, row)
  }

  collect (demand: Readonly<Vector>, limit: number, tightest: boolean, found: T[], accept: (entry: T) => boolean) {
    const firstRow = levelOf(demand.cores)
    const firstColumn = levelOf(demand.memory)
    const before = found.length
    let unfinished = false
    const next = tightest ? nextBit : previousBit
    const step = tightest ? 1 : -1
    for (let row = next(this.rowMask, 0, tightest ? firstRow : LEVELS - 1); row >= firstRow && row < LEVELS; row = next(this.rowMask, 0, row + step)) {
      for (let column = next(this.columnMasks, row * WORDS, tightest ? firstColumn : LEVELS - 1); column >= firstColumn && column < LEVELS; column = next(this.columnMasks, row * WORDS, column + step)) {
        const cell = this.cells[row * LEVELS + column]!
        const straddles = row === firstRow || column === firstColumn
        const start = straddles ? Math.max(0, cell.length - STRADDLING_PROBES) : 0
        if (start > 0) unfinished = true
        for (let i = cell.length - 1; i >= start; i--) {
          const entry = cell[i]!
          if (!fits(demand, entry.available) || !accept(entry)) continue
          found.push(entry)
          if (found.length >= limit) return
        }
      }
    }
    if (unfinished && found.length === before) this.collectStraddling(demand, firstRow, firstColumn, limit, found, accept)
  }

  /** Examines the rest of the cells whose range straddles the demand, stopping at the first entry that fits. */
  private collectStraddling (demand: Readonly<Vector>, firstRow: number, firstColumn: number, limit: number, found: T[], accept: (entry: T) => boolean) {
    for (let row = nextBit(this.rowMask, 0, firstRow); row < LEVELS; row = nextBit(this.rowMask, 0, row + 1)) {
      for (let column = nextBit(this.columnMasks, row * WORDS, firstColumn); column < LEVELS; column = nextBit(this.columnMasks, row * WORDS, column + 1)) {
        if (row !== firstRow && column !== firstColumn) break
        const cell = this.cells[row * LEVELS + column]!
        for (let i = cell.length - 1 - STRADDLING_PROBES; i >= 0; i--) {
          const entry = cell[i]!
          if (!fits(demand, entry.available) || !accept(entry)) continue
          found.push(entry)
          if (found.length >= limit) return
          break
        }
      }
    }
  }
}

/** Bucket of an amount: four per doubling, monotonic. */
function levelOf (amount: number): number {
  if (amount < 4) return amount <= 0 ? 0 : amount
  const exponent = 31 - Math.clz32(amount)
  return exponent * 4 + ((amount >> (exponent - 2)) & 3)
}

function setBit (words: Uint32Array, offset: number, bit: number) {
  words[offset + (bit >> 5)]! |= 1 << (bit & 31)
}

function clearBit (words: Uint32Array, offset: number, bit: number) {
  words[offset + (bit >> 5)]! &= ~(1 << (bit & 31))
}

/** First set bit at or after `from`, or LEVELS. */
function nextBit (words: Uint32Array, offset: number, from: number): number {
  if (from >= LEVELS) return LEVELS
  let word = from >> 5
  let bits = words[offset + word]! & (-1 << (from & 31))
  while (bits === 0) {
    if (++word >= WORDS) return LEVELS
    bits = words[offset + word]!
  }
  return word * 32 + 31 - Math.clz32(bits & -bits)
}

/** Last set bit at or before `from`, or -1. */
function previousBit (words: Uint32Array, offset: number, from: number): number {
  if (from < 0) return -1
  let word = from >> 5
  let bits = words[offset + word]! & (-1 >>> (31 - (from & 31)))
  while (bits === 0) {
    if (--word < 0) return -1
    bits = words[offset + word]!
  }
  return word * 32 + 31 - Math.clz32(bits)
}
