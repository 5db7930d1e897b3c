import { citronnotch } from '../gen/peer.js'

/** Message classes generated from `peer.proto`. */
export const peerMessages = citronnotch.peer

interface Codec<T, P> {
  encode (message: P): { finish (): Uint8Array }
  decode (data: Uint8Array): T
}

interface Streaming { readonly requestStream: boolean, readonly responseStream: boolean }

/** A method whose sent type may leave fields out that the received type has. */
interface PeerMethod<ReqProps, Req, ResProps, Res> extends Streaming {
  readonly path: string
  requestSerialize (value: ReqProps): Buffer
  requestDeserialize (data: Buffer): Req
  responseSerialize (value: ResProps): Buffer
  responseDeserialize (data: Buffer): Res
}

const unary: Streaming = { requestStream: false, responseStream: false }
const bidirectional: Streaming = { requestStream: true, responseStream: true }

/** gRPC service definition of the calls between daemons, for `Server.addService` and `Client.makeUnaryRequest`. */
export const peerService = {
  exchange: method('Exchange', unary, peerMessages.PeerState, peerMessages.PeerState),
  fetchConfig: method('FetchConfig', unary, peerMessages.FetchConfigRequest, peerMessages.FetchConfigResponse),
  route: method('Route', bidirectional, peerMessages.RequestFrame, peerMessages.ResponseFrame),
  notifyPart: method('NotifyPart', unary, peerMessages.NotifyPartRequest, peerMessages.NotifyPartResponse),
  partStatus: method('PartStatus', unary, peerMessages.PartStatusRequest, peerMessages.PartStatusResponse),
  superseded: method('Superseded', unary, peerMessages.SupersededRequest, peerMessages.SupersededResponse)
}

function method<Req, ReqProps, Res, ResProps> (
  name: string,
  streaming: Streaming,
  req: Codec<Req, ReqProps>,
  res: Codec<Res, ResProps>
): PeerMethod<ReqProps, Req, ResProps, Res> {
  return {
    path: `/citronnotch.peer.Peer/${name}`,
    ...streaming,
    requestSerialize: value => Buffer.from(req.encode(value).finish()),
    requestDeserialize: data => req.decode(data),
    responseSerialize: value => Buffer.from(res.encode(value).finish()),
    responseDeserialize: data => res.decode(data)
  }
}
