import type { Clock } from '../clock.js'
import { GroupCommitter } from './groupCommitter.js'
import { HttpClient } from './httpClient.js'
import { HttpObjectStore } from './httpObjectStore.js'
import { HttpTableService } from './httpTableService.js'
import { HttpVmList } from './httpVmList.js'
import type { GroupCommit, ObjectStore, Platform, TableService, VmList } from './types.js'

export interface HttpPlatformOptions {
  /** `http://ip:port` of the platform. */
  readonly url: string
  readonly clock: Clock
  /** Time without a complete answer after which a call counts as lost. */
  readonly timeoutMs: number
}

/** Two group commits, reads, polls and object transfers of one daemon at the same time. */
const CONNECTIONS = 16

/** The platform over HTTP. */
export class HttpPlatform implements Platform {
  readonly tables: TableService
  readonly groupCommit: GroupCommit
  readonly objects: ObjectStore
  readonly vms: VmList

  private constructor (
    private readonly http: HttpClient,
    private readonly httpTables: HttpTableService,
    private readonly committer: GroupCommitter
  ) {
    this.tables = httpTables
    this.groupCommit = committer
    this.objects = HttpObjectStore.create(http)
    this.vms = HttpVmList.create(http)
  }

  static create (options: HttpPlatformOptions): HttpPlatform {
    const http = HttpClient.create({ ...options, connections: CONNECTIONS, codePrefix: 'store', serverName: 'platform' })
    const tables = HttpTableService.create(http)
    return new HttpPlatform(http, tables, GroupCommitter.create({ tables, clock: options.clock }))
  }

  storeReachable (): boolean {
    return this.httpTables.reachable()
  }

  async close (): Promise<void> {
    this.committer.close()
    await this.http.close()
  }
}
