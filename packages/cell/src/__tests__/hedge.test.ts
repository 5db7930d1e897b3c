import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { Hedge } from '../hedge.js'

/** A server that answers each send after the given time, successfully or with a failure of the given verdict. */
function createServer (answers: ReadonlyArray<{ readonly afterMs: number, readonly verdict?: 'not-run' | 'may-have-run' }>) {
  const clock = ManualClock.create()
  const hedge = Hedge.create({ clock, initialTypicalMs: 20, minOverdueMs: 60 })
  let sent = 0
  const send = async (): Promise<Result<number, Failure>> => {
    const index = sent++
    const { afterMs, verdict } = answers[Math.min(index, answers.length - 1)] ?? { afterMs: 0 }
    await clock.sleep(afterMs)
    return verdict === undefined ? Ok(index) : Err(Failure.create({ code: 'test', verdict, reason: 'test' }))
  }
  const call = async (limitMs = 5_000) => {
    const answer = hedge.call(send)
    const startedAt = clock.now()
    const endedAt: number[] = []
    answer.then(() => endedAt.push(clock.now())).catch(() => {})
    while (endedAt.length === 0 && clock.now() - startedAt < limitMs) await clock.advance(10)
    return { res: await answer, tookMs: (endedAt[0] ?? clock.now()) - startedAt }
  }
  return { clock, hedge, send, call, sent: () => sent }
}

test('a lost answer delays a call until it is overdue, not until the timeout', async t => {
  const { call } = createServer([{ afterMs: 1_400, verdict: 'may-have-run' }, { afterMs: 10 }])
  const { res, tookMs } = await call()
  t.is(res.unwrap(), 1)
  t.true(tookMs < 150, `took ${tookMs} ms`)
})

test('a call keeps the verdict may-have-run when a retry is refused but an earlier send may have run', async t => {
  const { call } = createServer([{ afterMs: 900, verdict: 'may-have-run' }, { afterMs: 10, verdict: 'not-run' }])
  const { res } = await call()
  t.is(res.err && res.val.verdict, 'may-have-run')
})

test('a refusal of the only send is returned at once', async t => {
  const { call, sent } = createServer([{ afterMs: 10, verdict: 'not-run' }])
  const { res, tookMs } = await call()
  t.is(res.err && res.val.verdict, 'not-run')
  t.true(tookMs <= 20)
  t.is(sent(), 1)
})

test('a server that becomes slow is not flooded with retries', async t => {
  const { call, sent, hedge } = createServer([{ afterMs: 900 }])
  for (let i = 0; i < 20; i++) await call()
  t.true(hedge.overdueMs() > 900, 'the estimate has adapted to its response time')
  t.true(sent() <= 20 + 10, `${sent()} sends for 20 calls`)
})

// Pattern: the store becomes slow under load. Repeated calls queue before the later ones and delay all of them.
test('calls that are overdue together are not repeated while the server answers none of them', async t => {
  const { clock, hedge, send, sent } = createServer([{ afterMs: 700 }])
  const answers = Promise.all(Array.from({ length: 10 }, () => hedge.call(send)))
  await clock.advance(690)
  t.true(sent() <= 10 + 2, `${sent()} sends for 10 calls`)
  await clock.advance(1_000)
  t.true((await answers).every(({ ok }) => ok))
})

test('a call is repeated once calls that were sent later are answered', async t => {
  const { clock, hedge, send, sent } = createServer([{ afterMs: 5_000 }, { afterMs: 5_000 }, { afterMs: 10 }])
  const lost = [hedge.call(send), hedge.call(send)]
  await clock.advance(20)
  const answered = hedge.call(send)
  await clock.advance(500)
  t.true((await Promise.all([...lost, answered])).every(({ ok }) => ok))
  t.true(sent() <= 3 + 3, `${sent()} sends for 3 calls`)
})
