import test from 'ava'
import { RoundPacer } from '../roundPacer.js'

/** Plays rounds of the given duration that are always asked for, and returns the share of the time that they take. */
function shareOfRounds (durationMs: number, isOverloaded = false, totalMs = 10_000): number {
  const pacer = RoundPacer.create()
  let now = 0
  let inRoundsMs = 0
  while (now < totalMs) {
    now += pacer.delayMs(now, isOverloaded)
    pacer.recordRound(now, now + durationMs)
    now += durationMs
    inRoundsMs += durationMs
  }
  return inRoundsMs / now
}

// Guards against SHORT: rounds of 10 ms that followed one another took half of the leader's processor.
test('backlog: scheduling rounds take at most a fifth of the processor', t => {
  for (const durationMs of [1, 2, 5, 10, 25]) t.true(shareOfRounds(durationMs) <= 0.21, `${shareOfRounds(durationMs)} with rounds of ${durationMs} ms`)
})

// Guards against SHORT (issue 53): rounds took their fifth also while messages waited for the processor for 60 ms and more.
test('backlog, overloaded processor: scheduling rounds take at most a tenth of the processor', t => {
  for (const durationMs of [1, 2, 5, 10]) t.true(shareOfRounds(durationMs, true) <= 0.11, `${shareOfRounds(durationMs, true)} with rounds of ${durationMs} ms`)
})

test('calm: a round follows an event within 5 ms, also long after an expensive one', t => {
  const pacer = RoundPacer.create()
  t.is(pacer.delayMs(0), 5)
  pacer.recordRound(0, 50)
  t.is(pacer.delayMs(50), 100, 'the delay is bounded')
  t.is(pacer.delayMs(1_000), 5)
})
