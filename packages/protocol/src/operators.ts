/** Answer of `GET /ops/daemons`: what one daemon knows of itself and its peers. */
export interface DaemonsView {
  readonly self: DaemonView
  readonly peers: readonly DaemonView[]
}

export interface DaemonView {
  readonly daemonId: string
  readonly incarnation: string
  readonly region: string
  readonly failureDomain: string
  readonly callerAddress: string
  readonly operatorAddress: string
  readonly peerAddress: string
  readonly configVersion: number
  readonly storeReachable: boolean
  readonly leaving: boolean
  readonly shards: readonly ShardView[]
}

export interface ShardView {
  readonly shardId: string
  readonly epoch: number
  readonly mode: 'attached' | 'detached'
  readonly waitingTasks: number
  readonly runningTasks: number
}

/** Answer of `GET /ops/workers`: the workers of the shards that this daemon owns. */
export interface WorkersView {
  readonly daemonId: string
  readonly workers: readonly WorkerView[]
}

export interface WorkerView {
  readonly workerId: string
  readonly shardId: string
  readonly rack: string
  readonly state: 'adopting' | 'live' | 'unreachable' | 'leaving' | 'suspended'
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly usedCores: number
  readonly usedMemoryMb: number
  readonly usedAccelerators: number
  readonly tasks: number
}

/** Body of `POST /ops/config`. */
export interface ApplyConfigRequest {
  /** Version that the operator's difference was shown against; 0 for the first configuration. */
  readonly expectedVersion: number
  /** Name of the operator, kept in the history. */
  readonly author: string
  /** Files of the folder by name. */
  readonly files: Readonly<Record<string, string>>
  /** Accept although the check gave warnings. */
  readonly acceptWarnings?: boolean
}

/** One accepted configuration, as kept in the table service. */
export interface ConfigVersion {
  readonly version: number
  readonly changeId: string
  readonly author: string
  /** Wall clock of the accepting daemon, ISO 8601. */
  readonly acceptedAt: string
  readonly files: Readonly<Record<string, string>>
}

/** Answer of `GET /ops/config`. */
export interface ConfigView {
  /** 0 when no configuration is in force. */
  readonly version: number
  readonly current?: ConfigVersion
}
