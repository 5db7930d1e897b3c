import test from 'ava'
import { Job } from '../jobs.js'
import { LateShare } from '../room/lateShare.js'
import type { LateJob } from '../room/lateShare.js'
import { createStep } from '../testing/index.js'

const RENEWAL_MS = 200

let nextId = 1
/** A late job of which `steps` steps can start at once, one task each. */
function createLateJob ({ account, steps = 1, waitingMs = 3, reserved = 0.01 }: { readonly account?: string, readonly steps?: number, readonly waitingMs?: number, readonly reserved?: number } = {}): LateJob {
  const id = nextId++
  const job = Job.create(id.toString(16).padStart(16, '0'), { queue: 'batch', service: 'stave', admittedAtMs: id, ...(account === undefined ? {} : { account }), spec: { steps: Array.from({ length: steps }, () => createStep()) } }, 1)
  return { job, waitingMs, reservedShare: () => reserved }
}

/** Renews the share until `isDone`, and returns how long that took in milliseconds; Infinity after `limitMs`. */
function playUntil (share: LateShare, { jobs, isDone, use = () => {}, limitMs = 1_000_000 }: { readonly jobs: () => readonly LateJob[], readonly isDone: () => boolean, readonly use?: () => void, readonly limitMs?: number }): number {
  for (let now = 0; now <= limitMs; now += RENEWAL_MS) {
    share.renew(jobs(), now)
    if (isDone()) return now
    use()
  }
  return Infinity
}

// Guards against late jobs that need a whole worker, behind one that can start nowhere and is the first of each turn.
test('workers are kept free for each late job in turn, also beside one that never starts', t => {
  const share = LateShare.create()
  const jobs = [createLateJob(), createLateJob()]
  t.true(playUntil(share, { jobs: () => jobs, isDone: () => share.keepsRoom(jobs[1]?.job as Job) }) <= 20_000)
})

test('workers are kept free for late jobs of each account in turn, also beside an account whose job uses nothing', t => {
  const share = LateShare.create()
  const stuck = createLateJob({ account: 'stuck', reserved: 1e-6 })
  const small = createLateJob({ account: 'busy' })
  const wide = createLateJob({ account: 'busy' })
  const use = () => { if (share.goesFirst(small.job)) share.recordStart(small.job, 20) }
  t.true(playUntil(share, { jobs: () => [stuck, small, wide], isDone: () => share.keepsRoom(wide.job), use }) <= 60_000)
})

// Guards against an account whose late jobs can never start and use nothing, so that they take all turns.
test('an account whose late jobs never start leaves turns to those of others', t => {
  const share = LateShare.create()
  const stuck = Array.from({ length: 50 }, () => createLateJob({ account: 'stuck', waitingMs: 0.01, reserved: 1e-6 }))
  const first = createLateJob({ account: 'busy' })
  const next = createLateJob({ account: 'busy' })
  let hasStarted = false
  const use = () => {
    if (hasStarted || !share.goesFirst(first.job)) return
    hasStarted = true
    share.recordStart(first.job, 100)
  }
  const waitedMs = playUntil(share, { jobs: () => [...stuck, ...(hasStarted ? [next] : [first])], isDone: () => hasStarted && share.goesFirst(next.job), use })
  t.true(waitedMs <= 60_000, `${waitedMs}`)
})

// Guards against the charge for one job of which the size is wrong, for which all others of its account have to wait for hours.
test('late jobs of an account wait for a minute or two at most because of what one of them took', t => {
  const share = LateShare.create()
  const wide = createLateJob({ account: 'once', waitingMs: 600_000 })
  const next = createLateJob({ account: 'once' })
  let others = Array.from({ length: 40 }, () => createLateJob({ account: 'steady', waitingMs: 20 }))
  let hasStarted = false
  const use = () => {
    if (!hasStarted && share.goesFirst(wide.job)) {
      hasStarted = true
      share.recordStart(wide.job, 600_000)
    }
    others = others.map(late => {
      if (!share.goesFirst(late.job)) return late
      share.recordStart(late.job, 20)
      return createLateJob({ account: 'steady', waitingMs: 20 })
    })
  }
  const waitedMs = playUntil(share, { jobs: () => [...others, ...(hasStarted ? [next] : [wide])], isDone: () => hasStarted && share.goesFirst(next.job), use })
  t.true(waitedMs <= 150_000, `${waitedMs}`)
})

// Guards against later steps of late jobs, and jobs that found no agent in their turn, behind all that become late after them.
test('a late job has its next turn although more become late than the share covers', t => {
  const share = LateShare.create()
  const twoTurns = createLateJob({ waitingMs: 20 })
  const others = Array.from({ length: 30 }, () => createLateJob({ waitingMs: 20 }))
  let turns = 0
  let isItsTurn = false
  const use = () => {
    // 100 ms of work become late each second, of which 50 ms are covered.
    others.push(createLateJob({ waitingMs: 20 }))
    if (share.goesFirst(twoTurns.job) && !isItsTurn) turns++
    isItsTurn = share.goesFirst(twoTurns.job)
    const started = others.find(late => share.goesFirst(late.job))
    if (started === undefined) return
    share.recordStart(started.job, 20)
    others.splice(others.indexOf(started), 1)
  }
  const waitedMs = playUntil(share, { jobs: () => [twoTurns, ...others], isDone: () => turns === 2, use, limitMs: 400_000 })
  t.true(waitedMs <= 100_000, `${waitedMs}`)
})
