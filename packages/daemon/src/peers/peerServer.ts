import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { handleUnaryCall, ServerDuplexStream, ServiceDefinition, UntypedServiceImplementation } from '@grpc/grpc-js'
import { peerService } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import type { Log } from '../logger.js'
import { checkMessage } from './checkMessage.js'
import { MAX_MESSAGE_BYTES, MAX_STREAMS_PER_PEER } from './constants.js'
import { serveRoute } from './serveRoute.js'
import type { PeerHandlers, RequestFrame, ResponseFrameProps } from './types.js'

export interface PeerServerOptions {
  /** `ip:port` to listen on; port 0 takes a free one. */
  readonly listen: string
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly log: Log
}

/** gRPC listener for the other daemons of the cell. */
export class PeerServer {
  private constructor (private readonly server: Server, readonly port: number) {}

  /** Resolves once the listener is open; rejects when the address can't be bound. */
  static async create (options: PeerServerOptions): Promise<PeerServer> {
    const server = new Server({
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
      'grpc.max_concurrent_streams': MAX_STREAMS_PER_PEER
    })
    server.addService(peerService as unknown as ServiceDefinition, implement(options))
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync(options.listen, ServerCredentials.createInsecure(), (err, bound) => err ? reject(err) : resolve(bound))
    })
    return new PeerServer(server, port)
  }

  /** Stops accepting calls and resolves when the running ones have ended. */
  drain (): Promise<void> {
    return new Promise(resolve => this.server.tryShutdown(() => resolve()))
  }

  /** Cuts all connections. */
  close (): void {
    this.server.forceShutdown()
  }
}

function implement ({ handlers, clock, log }: PeerServerOptions): UntypedServiceImplementation {
  return {
    exchange: unary('Exchange', req => handlers.exchange(req), log),
    fetchConfig: unary('FetchConfig', req => handlers.fetchConfig(req), log),
    notifyPart: unary('NotifyPart', req => handlers.notifyPart(req), log),
    partStatus: unary('PartStatus', req => handlers.partStatus(req), log),
    superseded: unary('Superseded', req => handlers.superseded(req), log),
    route: (call: ServerDuplexStream<RequestFrame, ResponseFrameProps>) => { serveRoute(call, { route: (shardId, req) => handlers.route(shardId, req), clock, log }) }
  }
}

function unary<Req, Res> (name: string, handle: (req: Req) => Res | Promise<Res>, log: Log): handleUnaryCall<Req, Res> {
  return (call, callback) => {
    const fault = checkMessage(call.request)
    if (fault !== undefined) {
      callback({ code: status.INVALID_ARGUMENT, details: `${name}: ${fault}` })
      return
    }
    Promise.resolve(call.request).then(handle).then(
      res => callback(null, res),
      (err: unknown) => {
        const reason = err instanceof Error ? err.message : String(err)
        log.error(`Handler of ${name} failed`, { reason })
        callback({ code: status.INTERNAL, details: `${name}: ${reason}` })
      }
    )
  }
}
