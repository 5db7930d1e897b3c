import * as $protobuf from "protobufjs";
import Long = require("long");
/** Namespace citronnotch. */
export namespace citronnotch {

    /** Namespace peer. */
    namespace peer {

        /** Represents a Peer */
        class Peer extends $protobuf.rpc.Service {

            /**
             * Constructs a new Peer service.
             * @param rpcImpl RPC implementation
             * @param [requestDelimited=false] Whether requests are length-delimited
             * @param [responseDelimited=false] Whether responses are length-delimited
             */
            constructor(rpcImpl: $protobuf.RPCImpl, requestDelimited?: boolean, responseDelimited?: boolean);

            /**
             * Creates new Peer service using the specified rpc implementation.
             * @param rpcImpl RPC implementation
             * @param [requestDelimited=false] Whether requests are length-delimited
             * @param [responseDelimited=false] Whether responses are length-delimited
             * @returns RPC service. Useful where requests and/or responses are streamed.
             */
            public static create(rpcImpl: $protobuf.RPCImpl, requestDelimited?: boolean, responseDelimited?: boolean): Peer;

            /**
             * Calls Exchange.
             * @param request PeerState message or plain object
             * @param callback Node-style callback called with the error, if any, and PeerState
             */
            public exchange(request: citronnotch.peer.IPeerState, callback: citronnotch.peer.Peer.ExchangeCallback): void;

            /**
             * Calls Exchange.
             * @param request PeerState message or plain object
             * @returns Promise
             */
            public exchange(request: citronnotch.peer.IPeerState): Promise<citronnotch.peer.PeerState>;

            /**
             * Calls FetchConfig.
             * @param request FetchConfigRequest message or plain object
             * @param callback Node-style callback called with the error, if any, and FetchConfigResponse
             */
            public fetchConfig(request: citronnotch.peer.IFetchConfigRequest, callback: citronnotch.peer.Peer.FetchConfigCallback): void;

            /**
             * Calls FetchConfig.
             * @param request FetchConfigRequest message or plain object
             * @returns Promise
             */
            public fetchConfig(request: citronnotch.peer.IFetchConfigRequest): Promise<citronnotch.peer.FetchConfigResponse>;

            /**
             * Calls Route.
             * @param request RequestFrame message or plain object
             * @param callback Node-style callback called with the error, if any, and ResponseFrame
             */
            public route(request: citronnotch.peer.IRequestFrame, callback: citronnotch.peer.Peer.RouteCallback): void;

            /**
             * Calls Route.
             * @param request RequestFrame message or plain object
             * @returns Promise
             */
            public route(request: citronnotch.peer.IRequestFrame): Promise<citronnotch.peer.ResponseFrame>;

            /**
             * Calls NotifyPart.
             * @param request NotifyPartRequest message or plain object
             * @param callback Node-style callback called with the error, if any, and NotifyPartResponse
             */
            public notifyPart(request: citronnotch.peer.INotifyPartRequest, callback: citronnotch.peer.Peer.NotifyPartCallback): void;

            /**
             * Calls NotifyPart.
             * @param request NotifyPartRequest message or plain object
             * @returns Promise
             */
            public notifyPart(request: citronnotch.peer.INotifyPartRequest): Promise<citronnotch.peer.NotifyPartResponse>;

            /**
             * Calls PartStatus.
             * @param request PartStatusRequest message or plain object
             * @param callback Node-style callback called with the error, if any, and PartStatusResponse
             */
            public partStatus(request: citronnotch.peer.IPartStatusRequest, callback: citronnotch.peer.Peer.PartStatusCallback): void;

            /**
             * Calls PartStatus.
             * @param request PartStatusRequest message or plain object
             * @returns Promise
             */
            public partStatus(request: citronnotch.peer.IPartStatusRequest): Promise<citronnotch.peer.PartStatusResponse>;

            /**
             * Calls Superseded.
             * @param request SupersededRequest message or plain object
             * @param callback Node-style callback called with the error, if any, and SupersededResponse
             */
            public superseded(request: citronnotch.peer.ISupersededRequest, callback: citronnotch.peer.Peer.SupersededCallback): void;

            /**
             * Calls Superseded.
             * @param request SupersededRequest message or plain object
             * @returns Promise
             */
            public superseded(request: citronnotch.peer.ISupersededRequest): Promise<citronnotch.peer.SupersededResponse>;
        }

        namespace Peer {

            /**
             * Callback as used by {@link citronnotch.peer.Peer#exchange}.
             * @param error Error, if any
             * @param [response] PeerState
             */
            type ExchangeCallback = (error: (Error|null), response?: citronnotch.peer.PeerState) => void;

            /**
             * Callback as used by {@link citronnotch.peer.Peer#fetchConfig}.
             * @param error Error, if any
             * @param [response] FetchConfigResponse
             */
            type FetchConfigCallback = (error: (Error|null), response?: citronnotch.peer.FetchConfigResponse) => void;

            /**
             * Callback as used by {@link citronnotch.peer.Peer#route}.
             * @param error Error, if any
             * @param [response] ResponseFrame
             */
            type RouteCallback = (error: (Error|null), response?: citronnotch.peer.ResponseFrame) => void;

            /**
             * Callback as used by {@link citronnotch.peer.Peer#notifyPart}.
             * @param error Error, if any
             * @param [response] NotifyPartResponse
             */
            type NotifyPartCallback = (error: (Error|null), response?: citronnotch.peer.NotifyPartResponse) => void;

            /**
             * Callback as used by {@link citronnotch.peer.Peer#partStatus}.
             * @param error Error, if any
             * @param [response] PartStatusResponse
             */
            type PartStatusCallback = (error: (Error|null), response?: citronnotch.peer.PartStatusResponse) => void;

            /**
             * Callback as used by {@link citronnotch.peer.Peer#superseded}.
             * @param error Error, if any
             * @param [response] SupersededResponse
             */
            type SupersededCallback = (error: (Error|null), response?: citronnotch.peer.SupersededResponse) => void;
        }

        /** Properties of a Hlc. */
        interface IHlc {

            /** Hlc wallMs */
            wallMs?: (number|null);

            /** Hlc logical */
            logical?: (number|null);
        }

        /** Represents a Hlc. */
        class Hlc implements IHlc {

            /**
             * Constructs a new Hlc.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IHlc);

            /** Hlc wallMs. */
            public wallMs: number;

            /** Hlc logical. */
            public logical: number;

            /**
             * Creates a new Hlc instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Hlc instance
             */
            public static create(properties?: citronnotch.peer.IHlc): citronnotch.peer.Hlc;

            /**
             * Encodes the specified Hlc message. Does not implicitly {@link citronnotch.peer.Hlc.verify|verify} messages.
             * @param message Hlc message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IHlc, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Hlc message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns Hlc
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.Hlc;

            /**
             * Creates a Hlc message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns Hlc
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.Hlc;

            /**
             * Creates a plain object from a Hlc message. Also converts values to other types if specified.
             * @param message Hlc
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.Hlc, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this Hlc to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for Hlc
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a PeerState. */
        interface IPeerState {

            /** PeerState daemonId */
            daemonId?: (string|null);

            /** PeerState incarnation */
            incarnation?: (string|null);

            /** PeerState region */
            region?: (string|null);

            /** PeerState failureDomain */
            failureDomain?: (string|null);

            /** PeerState peerAddress */
            peerAddress?: (string|null);

            /** PeerState callerAddress */
            callerAddress?: (string|null);

            /** PeerState operatorAddress */
            operatorAddress?: (string|null);

            /** PeerState hlc */
            hlc?: (citronnotch.peer.IHlc|null);

            /** PeerState configVersion */
            configVersion?: (number|null);

            /** PeerState storeReachable */
            storeReachable?: (boolean|null);

            /** PeerState leaving */
            leaving?: (boolean|null);

            /** PeerState ownedShards */
            ownedShards?: (citronnotch.peer.IShardState[]|null);

            /** PeerState knownEpochs */
            knownEpochs?: (citronnotch.peer.IShardEpoch[]|null);
        }

        /** Represents a PeerState. */
        class PeerState implements IPeerState {

            /**
             * Constructs a new PeerState.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IPeerState);

            /** PeerState daemonId. */
            public daemonId: string;

            /** PeerState incarnation. */
            public incarnation: string;

            /** PeerState region. */
            public region: string;

            /** PeerState failureDomain. */
            public failureDomain: string;

            /** PeerState peerAddress. */
            public peerAddress: string;

            /** PeerState callerAddress. */
            public callerAddress: string;

            /** PeerState operatorAddress. */
            public operatorAddress: string;

            /** PeerState hlc. */
            public hlc?: (citronnotch.peer.IHlc|null);

            /** PeerState configVersion. */
            public configVersion: number;

            /** PeerState storeReachable. */
            public storeReachable: boolean;

            /** PeerState leaving. */
            public leaving: boolean;

            /** PeerState ownedShards. */
            public ownedShards: citronnotch.peer.IShardState[];

            /** PeerState knownEpochs. */
            public knownEpochs: citronnotch.peer.IShardEpoch[];

            /**
             * Creates a new PeerState instance using the specified properties.
             * @param [properties] Properties to set
             * @returns PeerState instance
             */
            public static create(properties?: citronnotch.peer.IPeerState): citronnotch.peer.PeerState;

            /**
             * Encodes the specified PeerState message. Does not implicitly {@link citronnotch.peer.PeerState.verify|verify} messages.
             * @param message PeerState message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IPeerState, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a PeerState message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns PeerState
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.PeerState;

            /**
             * Creates a PeerState message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns PeerState
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.PeerState;

            /**
             * Creates a plain object from a PeerState message. Also converts values to other types if specified.
             * @param message PeerState
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.PeerState, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this PeerState to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for PeerState
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a ShardEpoch. */
        interface IShardEpoch {

            /** ShardEpoch shardId */
            shardId?: (string|null);

            /** ShardEpoch epoch */
            epoch?: (number|null);

            /** ShardEpoch owner */
            owner?: (string|null);
        }

        /** Represents a ShardEpoch. */
        class ShardEpoch implements IShardEpoch {

            /**
             * Constructs a new ShardEpoch.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IShardEpoch);

            /** ShardEpoch shardId. */
            public shardId: string;

            /** ShardEpoch epoch. */
            public epoch: number;

            /** ShardEpoch owner. */
            public owner: string;

            /**
             * Creates a new ShardEpoch instance using the specified properties.
             * @param [properties] Properties to set
             * @returns ShardEpoch instance
             */
            public static create(properties?: citronnotch.peer.IShardEpoch): citronnotch.peer.ShardEpoch;

            /**
             * Encodes the specified ShardEpoch message. Does not implicitly {@link citronnotch.peer.ShardEpoch.verify|verify} messages.
             * @param message ShardEpoch message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IShardEpoch, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardEpoch message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns ShardEpoch
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.ShardEpoch;

            /**
             * Creates a ShardEpoch message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns ShardEpoch
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.ShardEpoch;

            /**
             * Creates a plain object from a ShardEpoch message. Also converts values to other types if specified.
             * @param message ShardEpoch
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.ShardEpoch, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this ShardEpoch to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for ShardEpoch
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a ShardState. */
        interface IShardState {

            /** ShardState shardId */
            shardId?: (string|null);

            /** ShardState epoch */
            epoch?: (number|null);

            /** ShardState freeCores */
            freeCores?: (number|null);

            /** ShardState freeMemoryMb */
            freeMemoryMb?: (number|null);

            /** ShardState freeAccelerators */
            freeAccelerators?: (number|null);

            /** ShardState waitingTasks */
            waitingTasks?: (number|null);

            /** ShardState runningTasks */
            runningTasks?: (number|null);

            /** ShardState services */
            services?: (citronnotch.peer.IServiceState[]|null);

            /** ShardState largestFreeCores */
            largestFreeCores?: (number|null);

            /** ShardState largestFreeMemoryMb */
            largestFreeMemoryMb?: (number|null);

            /** ShardState capacityCores */
            capacityCores?: (number|null);

            /** ShardState capacityMemoryMb */
            capacityMemoryMb?: (number|null);

            /** ShardState capacityAccelerators */
            capacityAccelerators?: (number|null);

            /** ShardState workerCores */
            workerCores?: (number|null);

            /** ShardState workerMemoryMb */
            workerMemoryMb?: (number|null);

            /** ShardState workerAccelerators */
            workerAccelerators?: (number|null);

            /** ShardState region */
            region?: (string|null);

            /** ShardState failureDomain */
            failureDomain?: (string|null);
        }

        /** Represents a ShardState. */
        class ShardState implements IShardState {

            /**
             * Constructs a new ShardState.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IShardState);

            /** ShardState shardId. */
            public shardId: string;

            /** ShardState epoch. */
            public epoch: number;

            /** ShardState freeCores. */
            public freeCores: number;

            /** ShardState freeMemoryMb. */
            public freeMemoryMb: number;

            /** ShardState freeAccelerators. */
            public freeAccelerators: number;

            /** ShardState waitingTasks. */
            public waitingTasks: number;

            /** ShardState runningTasks. */
            public runningTasks: number;

            /** ShardState services. */
            public services: citronnotch.peer.IServiceState[];

            /** ShardState largestFreeCores. */
            public largestFreeCores: number;

            /** ShardState largestFreeMemoryMb. */
            public largestFreeMemoryMb: number;

            /** ShardState capacityCores. */
            public capacityCores: number;

            /** ShardState capacityMemoryMb. */
            public capacityMemoryMb: number;

            /** ShardState capacityAccelerators. */
            public capacityAccelerators: number;

            /** ShardState workerCores. */
            public workerCores: number;

            /** ShardState workerMemoryMb. */
            public workerMemoryMb: number;

            /** ShardState workerAccelerators. */
            public workerAccelerators: number;

            /** ShardState region. */
            public region: string;

            /** ShardState failureDomain. */
            public failureDomain: string;

            /**
             * Creates a new ShardState instance using the specified properties.
             * @param [properties] Properties to set
             * @returns ShardState instance
             */
            public static create(properties?: citronnotch.peer.IShardState): citronnotch.peer.ShardState;

            /**
             * Encodes the specified ShardState message. Does not implicitly {@link citronnotch.peer.ShardState.verify|verify} messages.
             * @param message ShardState message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IShardState, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ShardState message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns ShardState
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.ShardState;

            /**
             * Creates a ShardState message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns ShardState
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.ShardState;

            /**
             * Creates a plain object from a ShardState message. Also converts values to other types if specified.
             * @param message ShardState
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.ShardState, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this ShardState to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for ShardState
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a ServiceState. */
        interface IServiceState {

            /** ServiceState service */
            service?: (string|null);

            /** ServiceState backendServers */
            backendServers?: (number|null);

            /** ServiceState freeSlots */
            freeSlots?: (number|null);

            /** ServiceState queuedRequests */
            queuedRequests?: (number|null);
        }

        /** Represents a ServiceState. */
        class ServiceState implements IServiceState {

            /**
             * Constructs a new ServiceState.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IServiceState);

            /** ServiceState service. */
            public service: string;

            /** ServiceState backendServers. */
            public backendServers: number;

            /** ServiceState freeSlots. */
            public freeSlots: number;

            /** ServiceState queuedRequests. */
            public queuedRequests: number;

            /**
             * Creates a new ServiceState instance using the specified properties.
             * @param [properties] Properties to set
             * @returns ServiceState instance
             */
            public static create(properties?: citronnotch.peer.IServiceState): citronnotch.peer.ServiceState;

            /**
             * Encodes the specified ServiceState message. Does not implicitly {@link citronnotch.peer.ServiceState.verify|verify} messages.
             * @param message ServiceState message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IServiceState, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ServiceState message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns ServiceState
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.ServiceState;

            /**
             * Creates a ServiceState message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns ServiceState
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.ServiceState;

            /**
             * Creates a plain object from a ServiceState message. Also converts values to other types if specified.
             * @param message ServiceState
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.ServiceState, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this ServiceState to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for ServiceState
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a FetchConfigRequest. */
        interface IFetchConfigRequest {

            /** FetchConfigRequest aboveVersion */
            aboveVersion?: (number|null);
        }

        /** Represents a FetchConfigRequest. */
        class FetchConfigRequest implements IFetchConfigRequest {

            /**
             * Constructs a new FetchConfigRequest.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IFetchConfigRequest);

            /** FetchConfigRequest aboveVersion. */
            public aboveVersion: number;

            /**
             * Creates a new FetchConfigRequest instance using the specified properties.
             * @param [properties] Properties to set
             * @returns FetchConfigRequest instance
             */
            public static create(properties?: citronnotch.peer.IFetchConfigRequest): citronnotch.peer.FetchConfigRequest;

            /**
             * Encodes the specified FetchConfigRequest message. Does not implicitly {@link citronnotch.peer.FetchConfigRequest.verify|verify} messages.
             * @param message FetchConfigRequest message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IFetchConfigRequest, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a FetchConfigRequest message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns FetchConfigRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.FetchConfigRequest;

            /**
             * Creates a FetchConfigRequest message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns FetchConfigRequest
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.FetchConfigRequest;

            /**
             * Creates a plain object from a FetchConfigRequest message. Also converts values to other types if specified.
             * @param message FetchConfigRequest
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.FetchConfigRequest, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this FetchConfigRequest to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for FetchConfigRequest
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a FetchConfigResponse. */
        interface IFetchConfigResponse {

            /** FetchConfigResponse version */
            version?: (number|null);

            /** FetchConfigResponse contentJson */
            contentJson?: (string|null);
        }

        /** Represents a FetchConfigResponse. */
        class FetchConfigResponse implements IFetchConfigResponse {

            /**
             * Constructs a new FetchConfigResponse.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IFetchConfigResponse);

            /** FetchConfigResponse version. */
            public version: number;

            /** FetchConfigResponse contentJson. */
            public contentJson: string;

            /**
             * Creates a new FetchConfigResponse instance using the specified properties.
             * @param [properties] Properties to set
             * @returns FetchConfigResponse instance
             */
            public static create(properties?: citronnotch.peer.IFetchConfigResponse): citronnotch.peer.FetchConfigResponse;

            /**
             * Encodes the specified FetchConfigResponse message. Does not implicitly {@link citronnotch.peer.FetchConfigResponse.verify|verify} messages.
             * @param message FetchConfigResponse message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IFetchConfigResponse, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a FetchConfigResponse message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns FetchConfigResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.FetchConfigResponse;

            /**
             * Creates a FetchConfigResponse message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns FetchConfigResponse
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.FetchConfigResponse;

            /**
             * Creates a plain object from a FetchConfigResponse message. Also converts values to other types if specified.
             * @param message FetchConfigResponse
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.FetchConfigResponse, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this FetchConfigResponse to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for FetchConfigResponse
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a RequestHead. */
        interface IRequestHead {

            /** RequestHead requestId */
            requestId?: (string|null);

            /** RequestHead service */
            service?: (string|null);

            /** RequestHead shardId */
            shardId?: (string|null);

            /** RequestHead method */
            method?: (string|null);

            /** RequestHead path */
            path?: (string|null);

            /** RequestHead headers */
            headers?: (citronnotch.peer.IHeader[]|null);

            /** RequestHead team */
            team?: (string|null);

            /** RequestHead deadlineMs */
            deadlineMs?: (number|null);

            /** RequestHead idempotent */
            idempotent?: (boolean|null);

            /** RequestHead hlc */
            hlc?: (citronnotch.peer.IHlc|null);

            /** RequestHead entryRegion */
            entryRegion?: (string|null);
        }

        /** Represents a RequestHead. */
        class RequestHead implements IRequestHead {

            /**
             * Constructs a new RequestHead.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IRequestHead);

            /** RequestHead requestId. */
            public requestId: string;

            /** RequestHead service. */
            public service: string;

            /** RequestHead shardId. */
            public shardId: string;

            /** RequestHead method. */
            public method: string;

            /** RequestHead path. */
            public path: string;

            /** RequestHead headers. */
            public headers: citronnotch.peer.IHeader[];

            /** RequestHead team. */
            public team: string;

            /** RequestHead deadlineMs. */
            public deadlineMs: number;

            /** RequestHead idempotent. */
            public idempotent: boolean;

            /** RequestHead hlc. */
            public hlc?: (citronnotch.peer.IHlc|null);

            /** RequestHead entryRegion. */
            public entryRegion: string;

            /**
             * Creates a new RequestHead instance using the specified properties.
             * @param [properties] Properties to set
             * @returns RequestHead instance
             */
            public static create(properties?: citronnotch.peer.IRequestHead): citronnotch.peer.RequestHead;

            /**
             * Encodes the specified RequestHead message. Does not implicitly {@link citronnotch.peer.RequestHead.verify|verify} messages.
             * @param message RequestHead message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IRequestHead, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RequestHead message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns RequestHead
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.RequestHead;

            /**
             * Creates a RequestHead message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns RequestHead
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.RequestHead;

            /**
             * Creates a plain object from a RequestHead message. Also converts values to other types if specified.
             * @param message RequestHead
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.RequestHead, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this RequestHead to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for RequestHead
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a Header. */
        interface IHeader {

            /** Header name */
            name?: (string|null);

            /** Header value */
            value?: (string|null);
        }

        /** Represents a Header. */
        class Header implements IHeader {

            /**
             * Constructs a new Header.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IHeader);

            /** Header name. */
            public name: string;

            /** Header value. */
            public value: string;

            /**
             * Creates a new Header instance using the specified properties.
             * @param [properties] Properties to set
             * @returns Header instance
             */
            public static create(properties?: citronnotch.peer.IHeader): citronnotch.peer.Header;

            /**
             * Encodes the specified Header message. Does not implicitly {@link citronnotch.peer.Header.verify|verify} messages.
             * @param message Header message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IHeader, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Header message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns Header
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.Header;

            /**
             * Creates a Header message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns Header
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.Header;

            /**
             * Creates a plain object from a Header message. Also converts values to other types if specified.
             * @param message Header
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.Header, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this Header to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for Header
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a RequestFrame. */
        interface IRequestFrame {

            /** RequestFrame head */
            head?: (citronnotch.peer.IRequestHead|null);

            /** RequestFrame body */
            body?: (Uint8Array|null);

            /** RequestFrame end */
            end?: (boolean|null);
        }

        /** Represents a RequestFrame. */
        class RequestFrame implements IRequestFrame {

            /**
             * Constructs a new RequestFrame.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IRequestFrame);

            /** RequestFrame head. */
            public head?: (citronnotch.peer.IRequestHead|null);

            /** RequestFrame body. */
            public body?: (Uint8Array|null);

            /** RequestFrame end. */
            public end?: (boolean|null);

            /** RequestFrame frame. */
            public frame?: ("head"|"body"|"end");

            /**
             * Creates a new RequestFrame instance using the specified properties.
             * @param [properties] Properties to set
             * @returns RequestFrame instance
             */
            public static create(properties?: citronnotch.peer.IRequestFrame): citronnotch.peer.RequestFrame;

            /**
             * Encodes the specified RequestFrame message. Does not implicitly {@link citronnotch.peer.RequestFrame.verify|verify} messages.
             * @param message RequestFrame message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IRequestFrame, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RequestFrame message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns RequestFrame
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.RequestFrame;

            /**
             * Creates a RequestFrame message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns RequestFrame
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.RequestFrame;

            /**
             * Creates a plain object from a RequestFrame message. Also converts values to other types if specified.
             * @param message RequestFrame
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.RequestFrame, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this RequestFrame to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for RequestFrame
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a ResponseHead. */
        interface IResponseHead {

            /** ResponseHead status */
            status?: (number|null);

            /** ResponseHead headers */
            headers?: (citronnotch.peer.IHeader[]|null);

            /** ResponseHead taskId */
            taskId?: (string|null);

            /** ResponseHead workerId */
            workerId?: (string|null);
        }

        /** Represents a ResponseHead. */
        class ResponseHead implements IResponseHead {

            /**
             * Constructs a new ResponseHead.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IResponseHead);

            /** ResponseHead status. */
            public status: number;

            /** ResponseHead headers. */
            public headers: citronnotch.peer.IHeader[];

            /** ResponseHead taskId. */
            public taskId: string;

            /** ResponseHead workerId. */
            public workerId: string;

            /**
             * Creates a new ResponseHead instance using the specified properties.
             * @param [properties] Properties to set
             * @returns ResponseHead instance
             */
            public static create(properties?: citronnotch.peer.IResponseHead): citronnotch.peer.ResponseHead;

            /**
             * Encodes the specified ResponseHead message. Does not implicitly {@link citronnotch.peer.ResponseHead.verify|verify} messages.
             * @param message ResponseHead message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IResponseHead, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ResponseHead message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns ResponseHead
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.ResponseHead;

            /**
             * Creates a ResponseHead message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns ResponseHead
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.ResponseHead;

            /**
             * Creates a plain object from a ResponseHead message. Also converts values to other types if specified.
             * @param message ResponseHead
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.ResponseHead, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this ResponseHead to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for ResponseHead
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a RouteFailure. */
        interface IRouteFailure {

            /** RouteFailure verdict */
            verdict?: (string|null);

            /** RouteFailure code */
            code?: (string|null);

            /** RouteFailure reason */
            reason?: (string|null);
        }

        /** Represents a RouteFailure. */
        class RouteFailure implements IRouteFailure {

            /**
             * Constructs a new RouteFailure.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IRouteFailure);

            /** RouteFailure verdict. */
            public verdict: string;

            /** RouteFailure code. */
            public code: string;

            /** RouteFailure reason. */
            public reason: string;

            /**
             * Creates a new RouteFailure instance using the specified properties.
             * @param [properties] Properties to set
             * @returns RouteFailure instance
             */
            public static create(properties?: citronnotch.peer.IRouteFailure): citronnotch.peer.RouteFailure;

            /**
             * Encodes the specified RouteFailure message. Does not implicitly {@link citronnotch.peer.RouteFailure.verify|verify} messages.
             * @param message RouteFailure message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IRouteFailure, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RouteFailure message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns RouteFailure
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.RouteFailure;

            /**
             * Creates a RouteFailure message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns RouteFailure
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.RouteFailure;

            /**
             * Creates a plain object from a RouteFailure message. Also converts values to other types if specified.
             * @param message RouteFailure
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.RouteFailure, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this RouteFailure to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for RouteFailure
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a ResponseFrame. */
        interface IResponseFrame {

            /** ResponseFrame head */
            head?: (citronnotch.peer.IResponseHead|null);

            /** ResponseFrame body */
            body?: (Uint8Array|null);

            /** ResponseFrame end */
            end?: (boolean|null);

            /** ResponseFrame failure */
            failure?: (citronnotch.peer.IRouteFailure|null);
        }

        /** Represents a ResponseFrame. */
        class ResponseFrame implements IResponseFrame {

            /**
             * Constructs a new ResponseFrame.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IResponseFrame);

            /** ResponseFrame head. */
            public head?: (citronnotch.peer.IResponseHead|null);

            /** ResponseFrame body. */
            public body?: (Uint8Array|null);

            /** ResponseFrame end. */
            public end?: (boolean|null);

            /** ResponseFrame failure. */
            public failure?: (citronnotch.peer.IRouteFailure|null);

            /** ResponseFrame frame. */
            public frame?: ("head"|"body"|"end"|"failure");

            /**
             * Creates a new ResponseFrame instance using the specified properties.
             * @param [properties] Properties to set
             * @returns ResponseFrame instance
             */
            public static create(properties?: citronnotch.peer.IResponseFrame): citronnotch.peer.ResponseFrame;

            /**
             * Encodes the specified ResponseFrame message. Does not implicitly {@link citronnotch.peer.ResponseFrame.verify|verify} messages.
             * @param message ResponseFrame message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IResponseFrame, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a ResponseFrame message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns ResponseFrame
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.ResponseFrame;

            /**
             * Creates a ResponseFrame message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns ResponseFrame
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.ResponseFrame;

            /**
             * Creates a plain object from a ResponseFrame message. Also converts values to other types if specified.
             * @param message ResponseFrame
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.ResponseFrame, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this ResponseFrame to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for ResponseFrame
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a NotifyPartRequest. */
        interface INotifyPartRequest {

            /** NotifyPartRequest shardId */
            shardId?: (string|null);

            /** NotifyPartRequest jobId */
            jobId?: (string|null);

            /** NotifyPartRequest hlc */
            hlc?: (citronnotch.peer.IHlc|null);
        }

        /** Represents a NotifyPartRequest. */
        class NotifyPartRequest implements INotifyPartRequest {

            /**
             * Constructs a new NotifyPartRequest.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.INotifyPartRequest);

            /** NotifyPartRequest shardId. */
            public shardId: string;

            /** NotifyPartRequest jobId. */
            public jobId: string;

            /** NotifyPartRequest hlc. */
            public hlc?: (citronnotch.peer.IHlc|null);

            /**
             * Creates a new NotifyPartRequest instance using the specified properties.
             * @param [properties] Properties to set
             * @returns NotifyPartRequest instance
             */
            public static create(properties?: citronnotch.peer.INotifyPartRequest): citronnotch.peer.NotifyPartRequest;

            /**
             * Encodes the specified NotifyPartRequest message. Does not implicitly {@link citronnotch.peer.NotifyPartRequest.verify|verify} messages.
             * @param message NotifyPartRequest message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.INotifyPartRequest, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a NotifyPartRequest message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns NotifyPartRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.NotifyPartRequest;

            /**
             * Creates a NotifyPartRequest message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns NotifyPartRequest
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.NotifyPartRequest;

            /**
             * Creates a plain object from a NotifyPartRequest message. Also converts values to other types if specified.
             * @param message NotifyPartRequest
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.NotifyPartRequest, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this NotifyPartRequest to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for NotifyPartRequest
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a NotifyPartResponse. */
        interface INotifyPartResponse {

            /** NotifyPartResponse accepted */
            accepted?: (boolean|null);
        }

        /** Represents a NotifyPartResponse. */
        class NotifyPartResponse implements INotifyPartResponse {

            /**
             * Constructs a new NotifyPartResponse.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.INotifyPartResponse);

            /** NotifyPartResponse accepted. */
            public accepted: boolean;

            /**
             * Creates a new NotifyPartResponse instance using the specified properties.
             * @param [properties] Properties to set
             * @returns NotifyPartResponse instance
             */
            public static create(properties?: citronnotch.peer.INotifyPartResponse): citronnotch.peer.NotifyPartResponse;

            /**
             * Encodes the specified NotifyPartResponse message. Does not implicitly {@link citronnotch.peer.NotifyPartResponse.verify|verify} messages.
             * @param message NotifyPartResponse message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.INotifyPartResponse, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a NotifyPartResponse message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns NotifyPartResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.NotifyPartResponse;

            /**
             * Creates a NotifyPartResponse message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns NotifyPartResponse
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.NotifyPartResponse;

            /**
             * Creates a plain object from a NotifyPartResponse message. Also converts values to other types if specified.
             * @param message NotifyPartResponse
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.NotifyPartResponse, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this NotifyPartResponse to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for NotifyPartResponse
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a PartStatusRequest. */
        interface IPartStatusRequest {

            /** PartStatusRequest shardId */
            shardId?: (string|null);

            /** PartStatusRequest jobId */
            jobId?: (string|null);
        }

        /** Represents a PartStatusRequest. */
        class PartStatusRequest implements IPartStatusRequest {

            /**
             * Constructs a new PartStatusRequest.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IPartStatusRequest);

            /** PartStatusRequest shardId. */
            public shardId: string;

            /** PartStatusRequest jobId. */
            public jobId: string;

            /**
             * Creates a new PartStatusRequest instance using the specified properties.
             * @param [properties] Properties to set
             * @returns PartStatusRequest instance
             */
            public static create(properties?: citronnotch.peer.IPartStatusRequest): citronnotch.peer.PartStatusRequest;

            /**
             * Encodes the specified PartStatusRequest message. Does not implicitly {@link citronnotch.peer.PartStatusRequest.verify|verify} messages.
             * @param message PartStatusRequest message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IPartStatusRequest, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a PartStatusRequest message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns PartStatusRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.PartStatusRequest;

            /**
             * Creates a PartStatusRequest message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns PartStatusRequest
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.PartStatusRequest;

            /**
             * Creates a plain object from a PartStatusRequest message. Also converts values to other types if specified.
             * @param message PartStatusRequest
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.PartStatusRequest, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this PartStatusRequest to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for PartStatusRequest
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a TaskStatus. */
        interface ITaskStatus {

            /** TaskStatus taskId */
            taskId?: (string|null);

            /** TaskStatus state */
            state?: (string|null);

            /** TaskStatus workerId */
            workerId?: (string|null);

            /** TaskStatus attempt */
            attempt?: (number|null);

            /** TaskStatus reason */
            reason?: (string|null);
        }

        /** Represents a TaskStatus. */
        class TaskStatus implements ITaskStatus {

            /**
             * Constructs a new TaskStatus.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.ITaskStatus);

            /** TaskStatus taskId. */
            public taskId: string;

            /** TaskStatus state. */
            public state: string;

            /** TaskStatus workerId. */
            public workerId: string;

            /** TaskStatus attempt. */
            public attempt: number;

            /** TaskStatus reason. */
            public reason: string;

            /**
             * Creates a new TaskStatus instance using the specified properties.
             * @param [properties] Properties to set
             * @returns TaskStatus instance
             */
            public static create(properties?: citronnotch.peer.ITaskStatus): citronnotch.peer.TaskStatus;

            /**
             * Encodes the specified TaskStatus message. Does not implicitly {@link citronnotch.peer.TaskStatus.verify|verify} messages.
             * @param message TaskStatus message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.ITaskStatus, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a TaskStatus message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns TaskStatus
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.TaskStatus;

            /**
             * Creates a TaskStatus message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns TaskStatus
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.TaskStatus;

            /**
             * Creates a plain object from a TaskStatus message. Also converts values to other types if specified.
             * @param message TaskStatus
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.TaskStatus, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this TaskStatus to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for TaskStatus
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a PartStatusResponse. */
        interface IPartStatusResponse {

            /** PartStatusResponse owned */
            owned?: (boolean|null);

            /** PartStatusResponse tasks */
            tasks?: (citronnotch.peer.ITaskStatus[]|null);
        }

        /** Represents a PartStatusResponse. */
        class PartStatusResponse implements IPartStatusResponse {

            /**
             * Constructs a new PartStatusResponse.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IPartStatusResponse);

            /** PartStatusResponse owned. */
            public owned: boolean;

            /** PartStatusResponse tasks. */
            public tasks: citronnotch.peer.ITaskStatus[];

            /**
             * Creates a new PartStatusResponse instance using the specified properties.
             * @param [properties] Properties to set
             * @returns PartStatusResponse instance
             */
            public static create(properties?: citronnotch.peer.IPartStatusResponse): citronnotch.peer.PartStatusResponse;

            /**
             * Encodes the specified PartStatusResponse message. Does not implicitly {@link citronnotch.peer.PartStatusResponse.verify|verify} messages.
             * @param message PartStatusResponse message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IPartStatusResponse, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a PartStatusResponse message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns PartStatusResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.PartStatusResponse;

            /**
             * Creates a PartStatusResponse message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns PartStatusResponse
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.PartStatusResponse;

            /**
             * Creates a plain object from a PartStatusResponse message. Also converts values to other types if specified.
             * @param message PartStatusResponse
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.PartStatusResponse, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this PartStatusResponse to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for PartStatusResponse
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a SupersededRequest. */
        interface ISupersededRequest {

            /** SupersededRequest shardId */
            shardId?: (string|null);

            /** SupersededRequest epoch */
            epoch?: (number|null);

            /** SupersededRequest owner */
            owner?: (string|null);
        }

        /** Represents a SupersededRequest. */
        class SupersededRequest implements ISupersededRequest {

            /**
             * Constructs a new SupersededRequest.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.ISupersededRequest);

            /** SupersededRequest shardId. */
            public shardId: string;

            /** SupersededRequest epoch. */
            public epoch: number;

            /** SupersededRequest owner. */
            public owner: string;

            /**
             * Creates a new SupersededRequest instance using the specified properties.
             * @param [properties] Properties to set
             * @returns SupersededRequest instance
             */
            public static create(properties?: citronnotch.peer.ISupersededRequest): citronnotch.peer.SupersededRequest;

            /**
             * Encodes the specified SupersededRequest message. Does not implicitly {@link citronnotch.peer.SupersededRequest.verify|verify} messages.
             * @param message SupersededRequest message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.ISupersededRequest, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a SupersededRequest message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns SupersededRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.SupersededRequest;

            /**
             * Creates a SupersededRequest message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns SupersededRequest
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.SupersededRequest;

            /**
             * Creates a plain object from a SupersededRequest message. Also converts values to other types if specified.
             * @param message SupersededRequest
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.SupersededRequest, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this SupersededRequest to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for SupersededRequest
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of a SupersededResponse. */
        interface ISupersededResponse {

            /** SupersededResponse givenUp */
            givenUp?: (boolean|null);

            /** SupersededResponse inFlight */
            inFlight?: (citronnotch.peer.IInFlight[]|null);
        }

        /** Represents a SupersededResponse. */
        class SupersededResponse implements ISupersededResponse {

            /**
             * Constructs a new SupersededResponse.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.ISupersededResponse);

            /** SupersededResponse givenUp. */
            public givenUp: boolean;

            /** SupersededResponse inFlight. */
            public inFlight: citronnotch.peer.IInFlight[];

            /**
             * Creates a new SupersededResponse instance using the specified properties.
             * @param [properties] Properties to set
             * @returns SupersededResponse instance
             */
            public static create(properties?: citronnotch.peer.ISupersededResponse): citronnotch.peer.SupersededResponse;

            /**
             * Encodes the specified SupersededResponse message. Does not implicitly {@link citronnotch.peer.SupersededResponse.verify|verify} messages.
             * @param message SupersededResponse message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.ISupersededResponse, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a SupersededResponse message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns SupersededResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.SupersededResponse;

            /**
             * Creates a SupersededResponse message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns SupersededResponse
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.SupersededResponse;

            /**
             * Creates a plain object from a SupersededResponse message. Also converts values to other types if specified.
             * @param message SupersededResponse
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.SupersededResponse, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this SupersededResponse to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for SupersededResponse
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }

        /** Properties of an InFlight. */
        interface IInFlight {

            /** InFlight address */
            address?: (string|null);

            /** InFlight requests */
            requests?: (number|null);
        }

        /** Represents an InFlight. */
        class InFlight implements IInFlight {

            /**
             * Constructs a new InFlight.
             * @param [properties] Properties to set
             */
            constructor(properties?: citronnotch.peer.IInFlight);

            /** InFlight address. */
            public address: string;

            /** InFlight requests. */
            public requests: number;

            /**
             * Creates a new InFlight instance using the specified properties.
             * @param [properties] Properties to set
             * @returns InFlight instance
             */
            public static create(properties?: citronnotch.peer.IInFlight): citronnotch.peer.InFlight;

            /**
             * Encodes the specified InFlight message. Does not implicitly {@link citronnotch.peer.InFlight.verify|verify} messages.
             * @param message InFlight message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            public static encode(message: citronnotch.peer.IInFlight, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an InFlight message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns InFlight
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): citronnotch.peer.InFlight;

            /**
             * Creates an InFlight message from a plain object. Also converts values to their respective internal types.
             * @param object Plain object
             * @returns InFlight
             */
            public static fromObject(object: { [k: string]: any }): citronnotch.peer.InFlight;

            /**
             * Creates a plain object from an InFlight message. Also converts values to other types if specified.
             * @param message InFlight
             * @param [options] Conversion options
             * @returns Plain object
             */
            public static toObject(message: citronnotch.peer.InFlight, options?: $protobuf.IConversionOptions): { [k: string]: any };

            /**
             * Converts this InFlight to JSON.
             * @returns JSON object
             */
            public toJSON(): { [k: string]: any };

            /**
             * Gets the default type url for InFlight
             * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns The default type url
             */
            public static getTypeUrl(typeUrlPrefix?: string): string;
        }
    }
}
