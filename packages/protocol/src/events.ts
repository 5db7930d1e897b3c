/** Hybrid logical clock stamp; orders events of all daemons consistently with cause and effect. */
export interface HlcStamp {
  readonly wallMs: number
  readonly logical: number
}

export const EVENT_TYPES = [
  'job-admitted', 'job-refused', 'job-cancelled', 'job-finished',
  'task-placed', 'task-started', 'task-start-failed', 'task-lost', 'task-stopped', 'task-finished', 'task-failed', 'task-preempted', 'task-parked',
  'worker-adopted', 'worker-unreachable', 'worker-restarted', 'worker-gone', 'worker-suspended', 'worker-leaving',
  'shard-acquired', 'shard-detached', 'shard-lost', 'shard-released',
  'request-routed', 'request-retried', 'request-refused', 'request-finished',
  'config-accepted', 'config-in-force', 'config-refused',
  'peer-joined', 'peer-lost', 'daemon-started', 'daemon-stopping'
] as const
export type EventType = typeof EVENT_TYPES[number]

/** Ids that tie an event to what it is about. */
export interface EventSubject {
  readonly jobId?: string
  readonly taskId?: string
  readonly workerId?: string
  readonly requestId?: string
  readonly shardId?: string
  readonly service?: string
  readonly team?: string
  readonly configVersion?: number
}

/** One entry of a daemon's time line. */
export interface TimelineEvent extends EventSubject {
  readonly hlc: HlcStamp
  readonly daemonId: string
  /** Position within the daemon's ring; grows by one. */
  readonly seq: number
  readonly type: EventType
  /** One short sentence, including the cause. */
  readonly message: string
}

/** Answer of `GET /ops/timeline` on the operators' interface. */
export interface TimelinePage {
  readonly daemonId: string
  readonly events: readonly TimelineEvent[]
  /** Pass as `after` to read on. */
  readonly lastSeq: number
  /** Events that were overwritten before they could be read. */
  readonly dropped: number
}

/** Orders two events by hybrid logical clock, then daemon and position. */
export function compareEvents (a: TimelineEvent, b: TimelineEvent): number {
  return a.hlc.wallMs - b.hlc.wallMs ||
    a.hlc.logical - b.hlc.logical ||
    a.daemonId.localeCompare(b.daemonId) ||
    a.seq - b.seq
}
