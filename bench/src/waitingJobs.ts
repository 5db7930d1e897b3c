import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createJob, createStep } from '@citronnotch/cell/testing'

export const WAITING_JOBS_PATTERN = 'memory of waiting jobs'

interface JobShape {
  readonly jobs: number
  readonly steps: number
  readonly tasksPerStep: number
}

const SHAPES: readonly JobShape[] = [
  { jobs: 40, steps: 1, tasksPerStep: 10_000 },
  { jobs: 10, steps: 100, tasksPerStep: 1_000 },
  { jobs: 4_000, steps: 1, tasksPerStep: 3 },
  { jobs: 2_000, steps: 2, tasksPerStep: 20 }
]

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Memory in use after a collection, in bytes. */
function usedBytes (): number {
  // The first collection may leave what only finalizers hold.
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Prints the memory that a leader needs for jobs none of whose tasks has started. */
export function measureWaitingJobs (): void {
  // What the first job loads would count with it.
  createJob({ jobId: '0000000000000000', steps: [createStep()] })
  for (const shape of SHAPES) {
    const { jobs, steps, tasksPerStep } = shape
    const bytes = bytesOf(shape) / jobs
    console.log(`${WAITING_JOBS_PATTERN}, ${jobs} jobs of ${steps} steps of ${tasksPerStep} tasks: ${Math.round(bytes)} bytes a job, ${Math.round(bytes / steps)} a step, ${(bytes / steps / tasksPerStep).toFixed(2)} a task`)
  }
}

function bytesOf ({ jobs, steps, tasksPerStep }: JobShape): number {
  const before = usedBytes()
  const kept = Array.from({ length: jobs }, (_, index) => createJob({
    jobId: index.toString(16).padStart(16, '0'), steps: Array.from({ length: steps }, () => createStep({ count: tasksPerStep }))
  }))
  const after = usedBytes()
  return kept.length === jobs ? after - before : 0
}
