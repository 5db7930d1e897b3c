import type { PlacementDecision, PlacerOptions, PlacerTask, PlacerWorker } from '../index.js'
import { ShardPlacer } from '../index.js'

export function workerOf (workerId: string, changes: Partial<PlacerWorker> = {}): PlacerWorker {
  return { workerId, region: 'r', failureDomain: 'f', rack: 'k0', capacity: { cores: 16, memoryMb: 65_536, accelerators: 0 }, ...changes }
}

export function taskOf (taskId: string, changes: Partial<PlacerTask> = {}): PlacerTask {
  return {
    taskId,
    jobId: taskId.split('/')[0]!,
    team: 'a',
    kind: 'batch',
    urgent: false,
    resources: { cores: 1, memoryMb: 1024, accelerators: 0 },
    regions: [],
    failureDomains: [],
    checkpointable: false,
    runSeconds: 60,
    waitingSince: 0,
    gangSize: 1,
    ...changes
  }
}

export function gangOf (jobId: string, size: number, changes: Partial<PlacerTask> = {}): PlacerTask[] {
  return Array.from({ length: size }, (_, i) => taskOf(`${jobId}/${i}`, { kind: 'gang', gangSize: size, ...changes }))
}

/** Placer with schedulable workers. */
export function placerWith (workers: readonly PlacerWorker[], options: PlacerOptions = {}): ShardPlacer {
  const placer = ShardPlacer.create({ parkAfterMs: 0, ...options })
  for (const worker of workers) {
    placer.addWorker(worker)
    placer.setSchedulable(worker.workerId, true)
  }
  return placer
}

export function coresOf (cores: number) {
  return { cores, memoryMb: 1024, accelerators: 0 }
}

/** Task ids and workers of all starts, including those of gang jobs. */
export function placesOf (decisions: readonly PlacementDecision[]): Map<string, string> {
  const places = new Map<string, string>()
  for (const decision of decisions) {
    if (decision.type === 'start') places.set(decision.taskId, decision.workerId)
    if (decision.type === 'start-gang') for (const { taskId, workerId } of decision.places) places.set(taskId, workerId)
  }
  return places
}

export function ofType<K extends PlacementDecision['type']> (decisions: readonly PlacementDecision[], type: K): Array<Extract<PlacementDecision, { type: K }>> {
  return decisions.filter((decision): decision is Extract<PlacementDecision, { type: K }> => decision.type === type)
}
