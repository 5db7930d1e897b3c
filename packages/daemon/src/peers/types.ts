import type { peerMessages, Result } from '@citronnotch/protocol'
import type { Failure } from '../errors.js'
import type { ServiceRequest, ServiceResponse } from '../routing/types.js'

export type PeerState = InstanceType<typeof peerMessages.PeerState>
/** A state as it is sent; fields may be left out. */
export type PeerStateProps = NonNullable<ConstructorParameters<typeof peerMessages.PeerState>[0]>
export type FetchConfigRequest = InstanceType<typeof peerMessages.FetchConfigRequest>
export type FetchConfigResponse = InstanceType<typeof peerMessages.FetchConfigResponse>
export type FetchConfigResponseProps = NonNullable<ConstructorParameters<typeof peerMessages.FetchConfigResponse>[0]>
export type NotifyPartRequest = InstanceType<typeof peerMessages.NotifyPartRequest>
export type NotifyPartRequestProps = NonNullable<ConstructorParameters<typeof peerMessages.NotifyPartRequest>[0]>
export type NotifyPartResponse = InstanceType<typeof peerMessages.NotifyPartResponse>
export type NotifyPartResponseProps = NonNullable<ConstructorParameters<typeof peerMessages.NotifyPartResponse>[0]>
export type PartStatusRequest = InstanceType<typeof peerMessages.PartStatusRequest>
export type PartStatusRequestProps = NonNullable<ConstructorParameters<typeof peerMessages.PartStatusRequest>[0]>
export type PartStatusResponse = InstanceType<typeof peerMessages.PartStatusResponse>
export type PartStatusResponseProps = NonNullable<ConstructorParameters<typeof peerMessages.PartStatusResponse>[0]>
export type SupersededRequest = InstanceType<typeof peerMessages.SupersededRequest>
export type SupersededRequestProps = NonNullable<ConstructorParameters<typeof peerMessages.SupersededRequest>[0]>
export type SupersededResponse = InstanceType<typeof peerMessages.SupersededResponse>
export type SupersededResponseProps = NonNullable<ConstructorParameters<typeof peerMessages.SupersededResponse>[0]>
export type RequestFrame = InstanceType<typeof peerMessages.RequestFrame>
export type RequestFrameProps = NonNullable<ConstructorParameters<typeof peerMessages.RequestFrame>[0]>
export type ResponseFrame = InstanceType<typeof peerMessages.ResponseFrame>
export type ResponseFrameProps = NonNullable<ConstructorParameters<typeof peerMessages.ResponseFrame>[0]>

/** What a daemon answers to its peers. A thrown error becomes status INTERNAL at the peer. */
export interface PeerHandlers {
  exchange (state: PeerState): PeerStateProps | Promise<PeerStateProps>
  fetchConfig (req: FetchConfigRequest): FetchConfigResponseProps | Promise<FetchConfigResponseProps>
  /** Forwards a request to a backend server of an owned shard. */
  route (shardId: string, req: ServiceRequest): Promise<Result<ServiceResponse, Failure>>
  notifyPart (req: NotifyPartRequest): NotifyPartResponseProps | Promise<NotifyPartResponseProps>
  partStatus (req: PartStatusRequest): PartStatusResponseProps | Promise<PartStatusResponseProps>
  superseded (req: SupersededRequest): SupersededResponseProps | Promise<SupersededResponseProps>
}
