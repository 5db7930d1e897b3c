import type { Job, Step } from '../jobs.js'
import type { Lateness } from '../lateness.js'
import type { JobQueue } from '../types.js'
import type { LateShare } from './lateShare.js'
import { compareJobs, standingOf } from './waitingPlan.js'
import type { PlannedJob, Standing, WaitingPlan } from './waitingPlan.js'

/** A step with tasks to start, and what decides on its place among the others. */
export interface WaitingStep {
  readonly step: Step
  readonly queue: JobQueue
  readonly lateness: Lateness
}

/** Order in which a scheduling round tries the steps that wait. */
export interface WaitingOrder {
  /** Maximum number of gangs with reserved workers at a time; what is reserved and not yet in use is lost to other jobs. */
  readonly maxReservingGangs: number
  /** Comparison for one round at a Unix time in milliseconds, as `Array.sort` takes it. Steps that compare as equal are of the same rank: accounts take turns among them, and those of one account stay in the order of their admission. */
  at (unixMs: number): (a: WaitingStep, b: WaitingStep) => number
  /** Whether a step goes before all others until all of it has started. */
  goesFirst (step: Step): boolean
  /** Whether workers are kept free for nothing but a step that goes first. */
  keepsRoom (step: Step): boolean
  /** How a job stands in the plan, if the order follows one; undefined for a job that the plan has not seen yet. Changes nothing. */
  standing?: (job: Job, unixMs: number) => Standing | undefined
}

/** Jobs that can be on time first, then by priority. */
export const ADMISSION_ORDER: WaitingOrder = {
  maxReservingGangs: 2,
  at: () => (a, b) => a.lateness - b.lateness || a.queue.priority - b.queue.priority,
  goesFirst: () => false,
  keepsRoom: () => false
}

/** The same, with a share of the cell for jobs that are too late to count. */
export function admissionOrder (lateShare: LateShare): WaitingOrder {
  return { ...ADMISSION_ORDER, goesFirst: ({ job }) => lateShare.goesFirst(job), keepsRoom: ({ job }) => lateShare.keepsRoom(job) }
}

/**
 * Maximum number of gangs with reserved workers at a time while the plan decides. In a full cell, small tasks fill each gap
 * before a wide gang finds room, so that its priority counts only through reservations.
 */
const MAX_RESERVING_GANGS = 8

/** Order of a plan that keeps what is worth most for the capacity that it takes. */
export function planOrder (plan: WaitingPlan, lateShare: LateShare): WaitingOrder {
  return {
    maxReservingGangs: MAX_RESERVING_GANGS,
    at: unixMs => {
      const jobs = new Map<WaitingStep, PlannedJob>()
      const jobOf = (waiting: WaitingStep) => {
        const job = jobs.get(waiting) ?? plan.of({ job: waiting.step.job, queue: waiting.queue })
        jobs.set(waiting, job)
        return job
      }
      return (a, b) => Number(lateShare.goesFirst(b.step.job)) - Number(lateShare.goesFirst(a.step.job)) || compareJobs(jobOf(a), jobOf(b), unixMs)
    },
    goesFirst: ({ job }) => lateShare.goesFirst(job),
    keepsRoom: ({ job }) => lateShare.keepsRoom(job),
    standing: (job, unixMs) => {
      const planned = plan.known(job)
      return planned === undefined ? undefined : standingOf(planned, unixMs)
    }
  }
}
