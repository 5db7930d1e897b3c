/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;

// Exported root namespace
const $root = $protobuf.roots["default"] || ($protobuf.roots["default"] = {});

export const citronnotch = $root.citronnotch = (() => {

    /**
     * Namespace citronnotch.
     * @exports citronnotch
     * @namespace
     */
    const citronnotch = {};

    citronnotch.peer = (function() {

        /**
         * Namespace peer.
         * @memberof citronnotch
         * @namespace
         */
        const peer = {};

        peer.Peer = (function() {

            /**
             * Constructs a new Peer service.
             * @memberof citronnotch.peer
             * @classdesc Represents a Peer
             * @extends $protobuf.rpc.Service
             * @constructor
             * @param {$protobuf.RPCImpl} rpcImpl RPC implementation
             * @param {boolean} [requestDelimited=false] Whether requests are length-delimited
             * @param {boolean} [responseDelimited=false] Whether responses are length-delimited
             */
            function Peer(rpcImpl, requestDelimited, responseDelimited) {
                $protobuf.rpc.Service.call(this, rpcImpl, requestDelimited, responseDelimited);
            }

            (Peer.prototype = Object.create($protobuf.rpc.Service.prototype)).constructor = Peer;

            /**
             * Creates new Peer service using the specified rpc implementation.
             * @function create
             * @memberof citronnotch.peer.Peer
             * @static
             * @param {$protobuf.RPCImpl} rpcImpl RPC implementation
             * @param {boolean} [requestDelimited=false] Whether requests are length-delimited
             * @param {boolean} [responseDelimited=false] Whether responses are length-delimited
             * @returns {Peer} RPC service. Useful where requests and/or responses are streamed.
             */
            Peer.create = function create(rpcImpl, requestDelimited, responseDelimited) {
                return new this(rpcImpl, requestDelimited, responseDelimited);
            };

            /**
             * Callback as used by {@link citronnotch.peer.Peer#exchange}.
             * @memberof citronnotch.peer.Peer
             * @typedef ExchangeCallback
             * @type {function}
             * @param {Error|null} error Error, if any
             * @param {citronnotch.peer.PeerState} [response] PeerState
             */

            /**
             * Calls Exchange.
             * @function exchange
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IPeerState} request PeerState message or plain object
             * @param {citronnotch.peer.Peer.ExchangeCallback} callback Node-style callback called with the error, if any, and PeerState
             * @returns {undefined}
             * @variation 1
             */
            Object.defineProperty(Peer.prototype.exchange = function exchange(request, callback) {
                return $protobuf.rpc.Service.prototype.rpcCall.call(this, exchange, $root.citronnotch.peer.PeerState, $root.citronnotch.peer.PeerState, request, callback);
            }, "name", { value: "Exchange" });

            /**
             * Calls Exchange.
             * @function exchange
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IPeerState} request PeerState message or plain object
             * @returns {Promise<citronnotch.peer.PeerState>} Promise
             * @variation 2
             */

            /**
             * Callback as used by {@link citronnotch.peer.Peer#fetchConfig}.
             * @memberof citronnotch.peer.Peer
             * @typedef FetchConfigCallback
             * @type {function}
             * @param {Error|null} error Error, if any
             * @param {citronnotch.peer.FetchConfigResponse} [response] FetchConfigResponse
             */

            /**
             * Calls FetchConfig.
             * @function fetchConfig
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IFetchConfigRequest} request FetchConfigRequest message or plain object
             * @param {citronnotch.peer.Peer.FetchConfigCallback} callback Node-style callback called with the error, if any, and FetchConfigResponse
             * @returns {undefined}
             * @variation 1
             */
            Object.defineProperty(Peer.prototype.fetchConfig = function fetchConfig(request, callback) {
                return $protobuf.rpc.Service.prototype.rpcCall.call(this, fetchConfig, $root.citronnotch.peer.FetchConfigRequest, $root.citronnotch.peer.FetchConfigResponse, request, callback);
            }, "name", { value: "FetchConfig" });

            /**
             * Calls FetchConfig.
             * @function fetchConfig
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IFetchConfigRequest} request FetchConfigRequest message or plain object
             * @returns {Promise<citronnotch.peer.FetchConfigResponse>} Promise
             * @variation 2
             */

            /**
             * Callback as used by {@link citronnotch.peer.Peer#route}.
             * @memberof citronnotch.peer.Peer
             * @typedef RouteCallback
             * @type {function}
             * @param {Error|null} error Error, if any
             * @param {citronnotch.peer.ResponseFrame} [response] ResponseFrame
             */

            /**
             * Calls Route.
             * @function route
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IRequestFrame} request RequestFrame message or plain object
             * @param {citronnotch.peer.Peer.RouteCallback} callback Node-style callback called with the error, if any, and ResponseFrame
             * @returns {undefined}
             * @variation 1
             */
            Object.defineProperty(Peer.prototype.route = function route(request, callback) {
                return $protobuf.rpc.Service.prototype.rpcCall.call(this, route, $root.citronnotch.peer.RequestFrame, $root.citronnotch.peer.ResponseFrame, request, callback);
            }, "name", { value: "Route" });

            /**
             * Calls Route.
             * @function route
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IRequestFrame} request RequestFrame message or plain object
             * @returns {Promise<citronnotch.peer.ResponseFrame>} Promise
             * @variation 2
             */

            /**
             * Callback as used by {@link citronnotch.peer.Peer#notifyPart}.
             * @memberof citronnotch.peer.Peer
             * @typedef NotifyPartCallback
             * @type {function}
             * @param {Error|null} error Error, if any
             * @param {citronnotch.peer.NotifyPartResponse} [response] NotifyPartResponse
             */

            /**
             * Calls NotifyPart.
             * @function notifyPart
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.INotifyPartRequest} request NotifyPartRequest message or plain object
             * @param {citronnotch.peer.Peer.NotifyPartCallback} callback Node-style callback called with the error, if any, and NotifyPartResponse
             * @returns {undefined}
             * @variation 1
             */
            Object.defineProperty(Peer.prototype.notifyPart = function notifyPart(request, callback) {
                return $protobuf.rpc.Service.prototype.rpcCall.call(this, notifyPart, $root.citronnotch.peer.NotifyPartRequest, $root.citronnotch.peer.NotifyPartResponse, request, callback);
            }, "name", { value: "NotifyPart" });

            /**
             * Calls NotifyPart.
             * @function notifyPart
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.INotifyPartRequest} request NotifyPartRequest message or plain object
             * @returns {Promise<citronnotch.peer.NotifyPartResponse>} Promise
             * @variation 2
             */

            /**
             * Callback as used by {@link citronnotch.peer.Peer#partStatus}.
             * @memberof citronnotch.peer.Peer
             * @typedef PartStatusCallback
             * @type {function}
             * @param {Error|null} error Error, if any
             * @param {citronnotch.peer.PartStatusResponse} [response] PartStatusResponse
             */

            /**
             * Calls PartStatus.
             * @function partStatus
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IPartStatusRequest} request PartStatusRequest message or plain object
             * @param {citronnotch.peer.Peer.PartStatusCallback} callback Node-style callback called with the error, if any, and PartStatusResponse
             * @returns {undefined}
             * @variation 1
             */
            Object.defineProperty(Peer.prototype.partStatus = function partStatus(request, callback) {
                return $protobuf.rpc.Service.prototype.rpcCall.call(this, partStatus, $root.citronnotch.peer.PartStatusRequest, $root.citronnotch.peer.PartStatusResponse, request, callback);
            }, "name", { value: "PartStatus" });

            /**
             * Calls PartStatus.
             * @function partStatus
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.IPartStatusRequest} request PartStatusRequest message or plain object
             * @returns {Promise<citronnotch.peer.PartStatusResponse>} Promise
             * @variation 2
             */

            /**
             * Callback as used by {@link citronnotch.peer.Peer#superseded}.
             * @memberof citronnotch.peer.Peer
             * @typedef SupersededCallback
             * @type {function}
             * @param {Error|null} error Error, if any
             * @param {citronnotch.peer.SupersededResponse} [response] SupersededResponse
             */

            /**
             * Calls Superseded.
             * @function superseded
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.ISupersededRequest} request SupersededRequest message or plain object
             * @param {citronnotch.peer.Peer.SupersededCallback} callback Node-style callback called with the error, if any, and SupersededResponse
             * @returns {undefined}
             * @variation 1
             */
            Object.defineProperty(Peer.prototype.superseded = function superseded(request, callback) {
                return $protobuf.rpc.Service.prototype.rpcCall.call(this, superseded, $root.citronnotch.peer.SupersededRequest, $root.citronnotch.peer.SupersededResponse, request, callback);
            }, "name", { value: "Superseded" });

            /**
             * Calls Superseded.
             * @function superseded
             * @memberof citronnotch.peer.Peer
             * @instance
             * @param {citronnotch.peer.ISupersededRequest} request SupersededRequest message or plain object
             * @returns {Promise<citronnotch.peer.SupersededResponse>} Promise
             * @variation 2
             */

            return Peer;
        })();

        peer.Hlc = (function() {

            /**
             * Properties of a Hlc.
             * @memberof citronnotch.peer
             * @interface IHlc
             * @property {number|null} [wallMs] Hlc wallMs
             * @property {number|null} [logical] Hlc logical
             */

            /**
             * Constructs a new Hlc.
             * @memberof citronnotch.peer
             * @classdesc Represents a Hlc.
             * @implements IHlc
             * @constructor
             * @param {citronnotch.peer.IHlc=} [properties] Properties to set
             */
            function Hlc(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * Hlc wallMs.
             * @member {number} wallMs
             * @memberof citronnotch.peer.Hlc
             * @instance
             */
            Hlc.prototype.wallMs = 0;

            /**
             * Hlc logical.
             * @member {number} logical
             * @memberof citronnotch.peer.Hlc
             * @instance
             */
            Hlc.prototype.logical = 0;

            /**
             * Creates a new Hlc instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.Hlc
             * @static
             * @param {citronnotch.peer.IHlc=} [properties] Properties to set
             * @returns {citronnotch.peer.Hlc} Hlc instance
             */
            Hlc.create = function create(properties) {
                return new Hlc(properties);
            };

            /**
             * Encodes the specified Hlc message. Does not implicitly {@link citronnotch.peer.Hlc.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.Hlc
             * @static
             * @param {citronnotch.peer.IHlc} message Hlc message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Hlc.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.wallMs != null && Object.hasOwnProperty.call(message, "wallMs"))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.wallMs);
                if (message.logical != null && Object.hasOwnProperty.call(message, "logical"))
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.logical);
                return writer;
            };

            /**
             * Decodes a Hlc message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.Hlc
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.Hlc} Hlc
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Hlc.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.Hlc();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.wallMs = reader.double();
                            break;
                        }
                    case 2: {
                            message.logical = reader.uint32();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a Hlc message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.Hlc
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.Hlc} Hlc
             */
            Hlc.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.Hlc)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.Hlc: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.Hlc();
                if (object.wallMs != null)
                    message.wallMs = Number(object.wallMs);
                if (object.logical != null)
                    message.logical = object.logical >>> 0;
                return message;
            };

            /**
             * Creates a plain object from a Hlc message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.Hlc
             * @static
             * @param {citronnotch.peer.Hlc} message Hlc
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            Hlc.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.wallMs = 0;
                    object.logical = 0;
                }
                if (message.wallMs != null && Object.hasOwnProperty.call(message, "wallMs"))
                    object.wallMs = options.json && !isFinite(message.wallMs) ? String(message.wallMs) : message.wallMs;
                if (message.logical != null && Object.hasOwnProperty.call(message, "logical"))
                    object.logical = message.logical;
                return object;
            };

            /**
             * Converts this Hlc to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.Hlc
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            Hlc.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for Hlc
             * @function getTypeUrl
             * @memberof citronnotch.peer.Hlc
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            Hlc.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.Hlc";
            };

            return Hlc;
        })();

        peer.PeerState = (function() {

            /**
             * Properties of a PeerState.
             * @memberof citronnotch.peer
             * @interface IPeerState
             * @property {string|null} [daemonId] PeerState daemonId
             * @property {string|null} [incarnation] PeerState incarnation
             * @property {string|null} [region] PeerState region
             * @property {string|null} [failureDomain] PeerState failureDomain
             * @property {string|null} [peerAddress] PeerState peerAddress
             * @property {string|null} [callerAddress] PeerState callerAddress
             * @property {string|null} [operatorAddress] PeerState operatorAddress
             * @property {citronnotch.peer.IHlc|null} [hlc] PeerState hlc
             * @property {number|null} [configVersion] PeerState configVersion
             * @property {boolean|null} [storeReachable] PeerState storeReachable
             * @property {boolean|null} [leaving] PeerState leaving
             * @property {Array.<citronnotch.peer.IShardState>|null} [ownedShards] PeerState ownedShards
             * @property {Array.<citronnotch.peer.IShardEpoch>|null} [knownEpochs] PeerState knownEpochs
             */

            /**
             * Constructs a new PeerState.
             * @memberof citronnotch.peer
             * @classdesc Represents a PeerState.
             * @implements IPeerState
             * @constructor
             * @param {citronnotch.peer.IPeerState=} [properties] Properties to set
             */
            function PeerState(properties) {
                this.ownedShards = [];
                this.knownEpochs = [];
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * PeerState daemonId.
             * @member {string} daemonId
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.daemonId = "";

            /**
             * PeerState incarnation.
             * @member {string} incarnation
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.incarnation = "";

            /**
             * PeerState region.
             * @member {string} region
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.region = "";

            /**
             * PeerState failureDomain.
             * @member {string} failureDomain
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.failureDomain = "";

            /**
             * PeerState peerAddress.
             * @member {string} peerAddress
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.peerAddress = "";

            /**
             * PeerState callerAddress.
             * @member {string} callerAddress
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.callerAddress = "";

            /**
             * PeerState operatorAddress.
             * @member {string} operatorAddress
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.operatorAddress = "";

            /**
             * PeerState hlc.
             * @member {citronnotch.peer.IHlc|null|undefined} hlc
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.hlc = null;

            /**
             * PeerState configVersion.
             * @member {number} configVersion
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.configVersion = 0;

            /**
             * PeerState storeReachable.
             * @member {boolean} storeReachable
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.storeReachable = false;

            /**
             * PeerState leaving.
             * @member {boolean} leaving
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.leaving = false;

            /**
             * PeerState ownedShards.
             * @member {Array.<citronnotch.peer.IShardState>} ownedShards
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.ownedShards = $util.emptyArray;

            /**
             * PeerState knownEpochs.
             * @member {Array.<citronnotch.peer.IShardEpoch>} knownEpochs
             * @memberof citronnotch.peer.PeerState
             * @instance
             */
            PeerState.prototype.knownEpochs = $util.emptyArray;

            /**
             * Creates a new PeerState instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.PeerState
             * @static
             * @param {citronnotch.peer.IPeerState=} [properties] Properties to set
             * @returns {citronnotch.peer.PeerState} PeerState instance
             */
            PeerState.create = function create(properties) {
                return new PeerState(properties);
            };

            /**
             * Encodes the specified PeerState message. Does not implicitly {@link citronnotch.peer.PeerState.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.PeerState
             * @static
             * @param {citronnotch.peer.IPeerState} message PeerState message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            PeerState.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.daemonId != null && Object.hasOwnProperty.call(message, "daemonId"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.daemonId);
                if (message.incarnation != null && Object.hasOwnProperty.call(message, "incarnation"))
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.incarnation);
                if (message.region != null && Object.hasOwnProperty.call(message, "region"))
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.region);
                if (message.failureDomain != null && Object.hasOwnProperty.call(message, "failureDomain"))
                    writer.uint32(/* id 4, wireType 2 =*/34).string(message.failureDomain);
                if (message.peerAddress != null && Object.hasOwnProperty.call(message, "peerAddress"))
                    writer.uint32(/* id 5, wireType 2 =*/42).string(message.peerAddress);
                if (message.callerAddress != null && Object.hasOwnProperty.call(message, "callerAddress"))
                    writer.uint32(/* id 6, wireType 2 =*/50).string(message.callerAddress);
                if (message.operatorAddress != null && Object.hasOwnProperty.call(message, "operatorAddress"))
                    writer.uint32(/* id 7, wireType 2 =*/58).string(message.operatorAddress);
                if (message.hlc != null && Object.hasOwnProperty.call(message, "hlc"))
                    $root.citronnotch.peer.Hlc.encode(message.hlc, writer.uint32(/* id 8, wireType 2 =*/66).fork(), q + 1).ldelim();
                if (message.configVersion != null && Object.hasOwnProperty.call(message, "configVersion"))
                    writer.uint32(/* id 9, wireType 1 =*/73).double(message.configVersion);
                if (message.storeReachable != null && Object.hasOwnProperty.call(message, "storeReachable"))
                    writer.uint32(/* id 10, wireType 0 =*/80).bool(message.storeReachable);
                if (message.leaving != null && Object.hasOwnProperty.call(message, "leaving"))
                    writer.uint32(/* id 11, wireType 0 =*/88).bool(message.leaving);
                if (message.ownedShards != null && message.ownedShards.length)
                    for (let i = 0; i < message.ownedShards.length; ++i)
                        $root.citronnotch.peer.ShardState.encode(message.ownedShards[i], writer.uint32(/* id 12, wireType 2 =*/98).fork(), q + 1).ldelim();
                if (message.knownEpochs != null && message.knownEpochs.length)
                    for (let i = 0; i < message.knownEpochs.length; ++i)
                        $root.citronnotch.peer.ShardEpoch.encode(message.knownEpochs[i], writer.uint32(/* id 13, wireType 2 =*/106).fork(), q + 1).ldelim();
                return writer;
            };

            /**
             * Decodes a PeerState message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.PeerState
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.PeerState} PeerState
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            PeerState.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.PeerState();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.daemonId = reader.string();
                            break;
                        }
                    case 2: {
                            message.incarnation = reader.string();
                            break;
                        }
                    case 3: {
                            message.region = reader.string();
                            break;
                        }
                    case 4: {
                            message.failureDomain = reader.string();
                            break;
                        }
                    case 5: {
                            message.peerAddress = reader.string();
                            break;
                        }
                    case 6: {
                            message.callerAddress = reader.string();
                            break;
                        }
                    case 7: {
                            message.operatorAddress = reader.string();
                            break;
                        }
                    case 8: {
                            message.hlc = $root.citronnotch.peer.Hlc.decode(reader, reader.uint32(), undefined, long + 1);
                            break;
                        }
                    case 9: {
                            message.configVersion = reader.double();
                            break;
                        }
                    case 10: {
                            message.storeReachable = reader.bool();
                            break;
                        }
                    case 11: {
                            message.leaving = reader.bool();
                            break;
                        }
                    case 12: {
                            if (!(message.ownedShards && message.ownedShards.length))
                                message.ownedShards = [];
                            message.ownedShards.push($root.citronnotch.peer.ShardState.decode(reader, reader.uint32(), undefined, long + 1));
                            break;
                        }
                    case 13: {
                            if (!(message.knownEpochs && message.knownEpochs.length))
                                message.knownEpochs = [];
                            message.knownEpochs.push($root.citronnotch.peer.ShardEpoch.decode(reader, reader.uint32(), undefined, long + 1));
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a PeerState message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.PeerState
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.PeerState} PeerState
             */
            PeerState.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.PeerState)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.PeerState: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.PeerState();
                if (object.daemonId != null)
                    message.daemonId = String(object.daemonId);
                if (object.incarnation != null)
                    message.incarnation = String(object.incarnation);
                if (object.region != null)
                    message.region = String(object.region);
                if (object.failureDomain != null)
                    message.failureDomain = String(object.failureDomain);
                if (object.peerAddress != null)
                    message.peerAddress = String(object.peerAddress);
                if (object.callerAddress != null)
                    message.callerAddress = String(object.callerAddress);
                if (object.operatorAddress != null)
                    message.operatorAddress = String(object.operatorAddress);
                if (object.hlc != null) {
                    if (!$util.isObject(object.hlc))
                        throw TypeError(".citronnotch.peer.PeerState.hlc: object expected");
                    message.hlc = $root.citronnotch.peer.Hlc.fromObject(object.hlc, long + 1);
                }
                if (object.configVersion != null)
                    message.configVersion = Number(object.configVersion);
                if (object.storeReachable != null)
                    message.storeReachable = Boolean(object.storeReachable);
                if (object.leaving != null)
                    message.leaving = Boolean(object.leaving);
                if (object.ownedShards) {
                    if (!Array.isArray(object.ownedShards))
                        throw TypeError(".citronnotch.peer.PeerState.ownedShards: array expected");
                    message.ownedShards = [];
                    for (let i = 0; i < object.ownedShards.length; ++i) {
                        if (!$util.isObject(object.ownedShards[i]))
                            throw TypeError(".citronnotch.peer.PeerState.ownedShards: object expected");
                        message.ownedShards[i] = $root.citronnotch.peer.ShardState.fromObject(object.ownedShards[i], long + 1);
                    }
                }
                if (object.knownEpochs) {
                    if (!Array.isArray(object.knownEpochs))
                        throw TypeError(".citronnotch.peer.PeerState.knownEpochs: array expected");
                    message.knownEpochs = [];
                    for (let i = 0; i < object.knownEpochs.length; ++i) {
                        if (!$util.isObject(object.knownEpochs[i]))
                            throw TypeError(".citronnotch.peer.PeerState.knownEpochs: object expected");
                        message.knownEpochs[i] = $root.citronnotch.peer.ShardEpoch.fromObject(object.knownEpochs[i], long + 1);
                    }
                }
                return message;
            };

            /**
             * Creates a plain object from a PeerState message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.PeerState
             * @static
             * @param {citronnotch.peer.PeerState} message PeerState
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            PeerState.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.arrays || options.defaults) {
                    object.ownedShards = [];
                    object.knownEpochs = [];
                }
                if (options.defaults) {
                    object.daemonId = "";
                    object.incarnation = "";
                    object.region = "";
                    object.failureDomain = "";
                    object.peerAddress = "";
                    object.callerAddress = "";
                    object.operatorAddress = "";
                    object.hlc = null;
                    object.configVersion = 0;
                    object.storeReachable = false;
                    object.leaving = false;
                }
                if (message.daemonId != null && Object.hasOwnProperty.call(message, "daemonId"))
                    object.daemonId = message.daemonId;
                if (message.incarnation != null && Object.hasOwnProperty.call(message, "incarnation"))
                    object.incarnation = message.incarnation;
                if (message.region != null && Object.hasOwnProperty.call(message, "region"))
                    object.region = message.region;
                if (message.failureDomain != null && Object.hasOwnProperty.call(message, "failureDomain"))
                    object.failureDomain = message.failureDomain;
                if (message.peerAddress != null && Object.hasOwnProperty.call(message, "peerAddress"))
                    object.peerAddress = message.peerAddress;
                if (message.callerAddress != null && Object.hasOwnProperty.call(message, "callerAddress"))
                    object.callerAddress = message.callerAddress;
                if (message.operatorAddress != null && Object.hasOwnProperty.call(message, "operatorAddress"))
                    object.operatorAddress = message.operatorAddress;
                if (message.hlc != null && Object.hasOwnProperty.call(message, "hlc"))
                    object.hlc = $root.citronnotch.peer.Hlc.toObject(message.hlc, options, q + 1);
                if (message.configVersion != null && Object.hasOwnProperty.call(message, "configVersion"))
                    object.configVersion = options.json && !isFinite(message.configVersion) ? String(message.configVersion) : message.configVersion;
                if (message.storeReachable != null && Object.hasOwnProperty.call(message, "storeReachable"))
                    object.storeReachable = message.storeReachable;
                if (message.leaving != null && Object.hasOwnProperty.call(message, "leaving"))
                    object.leaving = message.leaving;
                if (message.ownedShards && message.ownedShards.length) {
                    object.ownedShards = [];
                    for (let j = 0; j < message.ownedShards.length; ++j)
                        object.ownedShards[j] = $root.citronnotch.peer.ShardState.toObject(message.ownedShards[j], options, q + 1);
                }
                if (message.knownEpochs && message.knownEpochs.length) {
                    object.knownEpochs = [];
                    for (let j = 0; j < message.knownEpochs.length; ++j)
                        object.knownEpochs[j] = $root.citronnotch.peer.ShardEpoch.toObject(message.knownEpochs[j], options, q + 1);
                }
                return object;
            };

            /**
             * Converts this PeerState to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.PeerState
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            PeerState.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for PeerState
             * @function getTypeUrl
             * @memberof citronnotch.peer.PeerState
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            PeerState.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.PeerState";
            };

            return PeerState;
        })();

        peer.ShardEpoch = (function() {

            /**
             * Properties of a ShardEpoch.
             * @memberof citronnotch.peer
             * @interface IShardEpoch
             * @property {string|null} [shardId] ShardEpoch shardId
             * @property {number|null} [epoch] ShardEpoch epoch
             * @property {string|null} [owner] ShardEpoch owner
             */

            /**
             * Constructs a new ShardEpoch.
             * @memberof citronnotch.peer
             * @classdesc Represents a ShardEpoch.
             * @implements IShardEpoch
             * @constructor
             * @param {citronnotch.peer.IShardEpoch=} [properties] Properties to set
             */
            function ShardEpoch(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * ShardEpoch shardId.
             * @member {string} shardId
             * @memberof citronnotch.peer.ShardEpoch
             * @instance
             */
            ShardEpoch.prototype.shardId = "";

            /**
             * ShardEpoch epoch.
             * @member {number} epoch
             * @memberof citronnotch.peer.ShardEpoch
             * @instance
             */
            ShardEpoch.prototype.epoch = 0;

            /**
             * ShardEpoch owner.
             * @member {string} owner
             * @memberof citronnotch.peer.ShardEpoch
             * @instance
             */
            ShardEpoch.prototype.owner = "";

            /**
             * Creates a new ShardEpoch instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.ShardEpoch
             * @static
             * @param {citronnotch.peer.IShardEpoch=} [properties] Properties to set
             * @returns {citronnotch.peer.ShardEpoch} ShardEpoch instance
             */
            ShardEpoch.create = function create(properties) {
                return new ShardEpoch(properties);
            };

            /**
             * Encodes the specified ShardEpoch message. Does not implicitly {@link citronnotch.peer.ShardEpoch.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.ShardEpoch
             * @static
             * @param {citronnotch.peer.IShardEpoch} message ShardEpoch message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardEpoch.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.shardId);
                if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.epoch);
                if (message.owner != null && Object.hasOwnProperty.call(message, "owner"))
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.owner);
                return writer;
            };

            /**
             * Decodes a ShardEpoch message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.ShardEpoch
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.ShardEpoch} ShardEpoch
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardEpoch.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.ShardEpoch();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.shardId = reader.string();
                            break;
                        }
                    case 2: {
                            message.epoch = reader.double();
                            break;
                        }
                    case 3: {
                            message.owner = reader.string();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a ShardEpoch message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.ShardEpoch
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.ShardEpoch} ShardEpoch
             */
            ShardEpoch.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.ShardEpoch)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.ShardEpoch: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.ShardEpoch();
                if (object.shardId != null)
                    message.shardId = String(object.shardId);
                if (object.epoch != null)
                    message.epoch = Number(object.epoch);
                if (object.owner != null)
                    message.owner = String(object.owner);
                return message;
            };

            /**
             * Creates a plain object from a ShardEpoch message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.ShardEpoch
             * @static
             * @param {citronnotch.peer.ShardEpoch} message ShardEpoch
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            ShardEpoch.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.shardId = "";
                    object.epoch = 0;
                    object.owner = "";
                }
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    object.shardId = message.shardId;
                if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                    object.epoch = options.json && !isFinite(message.epoch) ? String(message.epoch) : message.epoch;
                if (message.owner != null && Object.hasOwnProperty.call(message, "owner"))
                    object.owner = message.owner;
                return object;
            };

            /**
             * Converts this ShardEpoch to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.ShardEpoch
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            ShardEpoch.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for ShardEpoch
             * @function getTypeUrl
             * @memberof citronnotch.peer.ShardEpoch
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            ShardEpoch.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.ShardEpoch";
            };

            return ShardEpoch;
        })();

        peer.ShardState = (function() {

            /**
             * Properties of a ShardState.
             * @memberof citronnotch.peer
             * @interface IShardState
             * @property {string|null} [shardId] ShardState shardId
             * @property {number|null} [epoch] ShardState epoch
             * @property {number|null} [freeCores] ShardState freeCores
             * @property {number|null} [freeMemoryMb] ShardState freeMemoryMb
             * @property {number|null} [freeAccelerators] ShardState freeAccelerators
             * @property {number|null} [waitingTasks] ShardState waitingTasks
             * @property {number|null} [runningTasks] ShardState runningTasks
             * @property {Array.<citronnotch.peer.IServiceState>|null} [services] ShardState services
             * @property {number|null} [largestFreeCores] ShardState largestFreeCores
             * @property {number|null} [largestFreeMemoryMb] ShardState largestFreeMemoryMb
             * @property {number|null} [capacityCores] ShardState capacityCores
             * @property {number|null} [capacityMemoryMb] ShardState capacityMemoryMb
             * @property {number|null} [capacityAccelerators] ShardState capacityAccelerators
             * @property {number|null} [workerCores] ShardState workerCores
             * @property {number|null} [workerMemoryMb] ShardState workerMemoryMb
             * @property {number|null} [workerAccelerators] ShardState workerAccelerators
             * @property {string|null} [region] ShardState region
             * @property {string|null} [failureDomain] ShardState failureDomain
             */

            /**
             * Constructs a new ShardState.
             * @memberof citronnotch.peer
             * @classdesc Represents a ShardState.
             * @implements IShardState
             * @constructor
             * @param {citronnotch.peer.IShardState=} [properties] Properties to set
             */
            function ShardState(properties) {
                this.services = [];
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * ShardState shardId.
             * @member {string} shardId
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.shardId = "";

            /**
             * ShardState epoch.
             * @member {number} epoch
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.epoch = 0;

            /**
             * ShardState freeCores.
             * @member {number} freeCores
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.freeCores = 0;

            /**
             * ShardState freeMemoryMb.
             * @member {number} freeMemoryMb
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.freeMemoryMb = 0;

            /**
             * ShardState freeAccelerators.
             * @member {number} freeAccelerators
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.freeAccelerators = 0;

            /**
             * ShardState waitingTasks.
             * @member {number} waitingTasks
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.waitingTasks = 0;

            /**
             * ShardState runningTasks.
             * @member {number} runningTasks
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.runningTasks = 0;

            /**
             * ShardState services.
             * @member {Array.<citronnotch.peer.IServiceState>} services
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.services = $util.emptyArray;

            /**
             * ShardState largestFreeCores.
             * @member {number} largestFreeCores
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.largestFreeCores = 0;

            /**
             * ShardState largestFreeMemoryMb.
             * @member {number} largestFreeMemoryMb
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.largestFreeMemoryMb = 0;

            /**
             * ShardState capacityCores.
             * @member {number} capacityCores
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.capacityCores = 0;

            /**
             * ShardState capacityMemoryMb.
             * @member {number} capacityMemoryMb
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.capacityMemoryMb = 0;

            /**
             * ShardState capacityAccelerators.
             * @member {number} capacityAccelerators
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.capacityAccelerators = 0;

            /**
             * ShardState workerCores.
             * @member {number} workerCores
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.workerCores = 0;

            /**
             * ShardState workerMemoryMb.
             * @member {number} workerMemoryMb
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.workerMemoryMb = 0;

            /**
             * ShardState workerAccelerators.
             * @member {number} workerAccelerators
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.workerAccelerators = 0;

            /**
             * ShardState region.
             * @member {string} region
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.region = "";

            /**
             * ShardState failureDomain.
             * @member {string} failureDomain
             * @memberof citronnotch.peer.ShardState
             * @instance
             */
            ShardState.prototype.failureDomain = "";

            /**
             * Creates a new ShardState instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.ShardState
             * @static
             * @param {citronnotch.peer.IShardState=} [properties] Properties to set
             * @returns {citronnotch.peer.ShardState} ShardState instance
             */
            ShardState.create = function create(properties) {
                return new ShardState(properties);
            };

            /**
             * Encodes the specified ShardState message. Does not implicitly {@link citronnotch.peer.ShardState.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.ShardState
             * @static
             * @param {citronnotch.peer.IShardState} message ShardState message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ShardState.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.shardId);
                if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                    writer.uint32(/* id 2, wireType 1 =*/17).double(message.epoch);
                if (message.freeCores != null && Object.hasOwnProperty.call(message, "freeCores"))
                    writer.uint32(/* id 3, wireType 1 =*/25).double(message.freeCores);
                if (message.freeMemoryMb != null && Object.hasOwnProperty.call(message, "freeMemoryMb"))
                    writer.uint32(/* id 4, wireType 1 =*/33).double(message.freeMemoryMb);
                if (message.freeAccelerators != null && Object.hasOwnProperty.call(message, "freeAccelerators"))
                    writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.freeAccelerators);
                if (message.waitingTasks != null && Object.hasOwnProperty.call(message, "waitingTasks"))
                    writer.uint32(/* id 6, wireType 0 =*/48).uint32(message.waitingTasks);
                if (message.runningTasks != null && Object.hasOwnProperty.call(message, "runningTasks"))
                    writer.uint32(/* id 7, wireType 0 =*/56).uint32(message.runningTasks);
                if (message.services != null && message.services.length)
                    for (let i = 0; i < message.services.length; ++i)
                        $root.citronnotch.peer.ServiceState.encode(message.services[i], writer.uint32(/* id 8, wireType 2 =*/66).fork(), q + 1).ldelim();
                if (message.largestFreeCores != null && Object.hasOwnProperty.call(message, "largestFreeCores"))
                    writer.uint32(/* id 9, wireType 1 =*/73).double(message.largestFreeCores);
                if (message.largestFreeMemoryMb != null && Object.hasOwnProperty.call(message, "largestFreeMemoryMb"))
                    writer.uint32(/* id 10, wireType 1 =*/81).double(message.largestFreeMemoryMb);
                if (message.capacityCores != null && Object.hasOwnProperty.call(message, "capacityCores"))
                    writer.uint32(/* id 20, wireType 1 =*/161).double(message.capacityCores);
                if (message.capacityMemoryMb != null && Object.hasOwnProperty.call(message, "capacityMemoryMb"))
                    writer.uint32(/* id 21, wireType 1 =*/169).double(message.capacityMemoryMb);
                if (message.capacityAccelerators != null && Object.hasOwnProperty.call(message, "capacityAccelerators"))
                    writer.uint32(/* id 22, wireType 0 =*/176).uint32(message.capacityAccelerators);
                if (message.workerCores != null && Object.hasOwnProperty.call(message, "workerCores"))
                    writer.uint32(/* id 23, wireType 1 =*/185).double(message.workerCores);
                if (message.workerMemoryMb != null && Object.hasOwnProperty.call(message, "workerMemoryMb"))
                    writer.uint32(/* id 24, wireType 1 =*/193).double(message.workerMemoryMb);
                if (message.workerAccelerators != null && Object.hasOwnProperty.call(message, "workerAccelerators"))
                    writer.uint32(/* id 25, wireType 0 =*/200).uint32(message.workerAccelerators);
                if (message.region != null && Object.hasOwnProperty.call(message, "region"))
                    writer.uint32(/* id 26, wireType 2 =*/210).string(message.region);
                if (message.failureDomain != null && Object.hasOwnProperty.call(message, "failureDomain"))
                    writer.uint32(/* id 27, wireType 2 =*/218).string(message.failureDomain);
                return writer;
            };

            /**
             * Decodes a ShardState message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.ShardState
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.ShardState} ShardState
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ShardState.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.ShardState();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.shardId = reader.string();
                            break;
                        }
                    case 2: {
                            message.epoch = reader.double();
                            break;
                        }
                    case 3: {
                            message.freeCores = reader.double();
                            break;
                        }
                    case 4: {
                            message.freeMemoryMb = reader.double();
                            break;
                        }
                    case 5: {
                            message.freeAccelerators = reader.uint32();
                            break;
                        }
                    case 6: {
                            message.waitingTasks = reader.uint32();
                            break;
                        }
                    case 7: {
                            message.runningTasks = reader.uint32();
                            break;
                        }
                    case 8: {
                            if (!(message.services && message.services.length))
                                message.services = [];
                            message.services.push($root.citronnotch.peer.ServiceState.decode(reader, reader.uint32(), undefined, long + 1));
                            break;
                        }
                    case 9: {
                            message.largestFreeCores = reader.double();
                            break;
                        }
                    case 10: {
                            message.largestFreeMemoryMb = reader.double();
                            break;
                        }
                    case 20: {
                            message.capacityCores = reader.double();
                            break;
                        }
                    case 21: {
                            message.capacityMemoryMb = reader.double();
                            break;
                        }
                    case 22: {
                            message.capacityAccelerators = reader.uint32();
                            break;
                        }
                    case 23: {
                            message.workerCores = reader.double();
                            break;
                        }
                    case 24: {
                            message.workerMemoryMb = reader.double();
                            break;
                        }
                    case 25: {
                            message.workerAccelerators = reader.uint32();
                            break;
                        }
                    case 26: {
                            message.region = reader.string();
                            break;
                        }
                    case 27: {
                            message.failureDomain = reader.string();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a ShardState message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.ShardState
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.ShardState} ShardState
             */
            ShardState.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.ShardState)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.ShardState: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.ShardState();
                if (object.shardId != null)
                    message.shardId = String(object.shardId);
                if (object.epoch != null)
                    message.epoch = Number(object.epoch);
                if (object.freeCores != null)
                    message.freeCores = Number(object.freeCores);
                if (object.freeMemoryMb != null)
                    message.freeMemoryMb = Number(object.freeMemoryMb);
                if (object.freeAccelerators != null)
                    message.freeAccelerators = object.freeAccelerators >>> 0;
                if (object.waitingTasks != null)
                    message.waitingTasks = object.waitingTasks >>> 0;
                if (object.runningTasks != null)
                    message.runningTasks = object.runningTasks >>> 0;
                if (object.services) {
                    if (!Array.isArray(object.services))
                        throw TypeError(".citronnotch.peer.ShardState.services: array expected");
                    message.services = [];
                    for (let i = 0; i < object.services.length; ++i) {
                        if (!$util.isObject(object.services[i]))
                            throw TypeError(".citronnotch.peer.ShardState.services: object expected");
                        message.services[i] = $root.citronnotch.peer.ServiceState.fromObject(object.services[i], long + 1);
                    }
                }
                if (object.largestFreeCores != null)
                    message.largestFreeCores = Number(object.largestFreeCores);
                if (object.largestFreeMemoryMb != null)
                    message.largestFreeMemoryMb = Number(object.largestFreeMemoryMb);
                if (object.capacityCores != null)
                    message.capacityCores = Number(object.capacityCores);
                if (object.capacityMemoryMb != null)
                    message.capacityMemoryMb = Number(object.capacityMemoryMb);
                if (object.capacityAccelerators != null)
                    message.capacityAccelerators = object.capacityAccelerators >>> 0;
                if (object.workerCores != null)
                    message.workerCores = Number(object.workerCores);
                if (object.workerMemoryMb != null)
                    message.workerMemoryMb = Number(object.workerMemoryMb);
                if (object.workerAccelerators != null)
                    message.workerAccelerators = object.workerAccelerators >>> 0;
                if (object.region != null)
                    message.region = String(object.region);
                if (object.failureDomain != null)
                    message.failureDomain = String(object.failureDomain);
                return message;
            };

            /**
             * Creates a plain object from a ShardState message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.ShardState
             * @static
             * @param {citronnotch.peer.ShardState} message ShardState
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            ShardState.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.arrays || options.defaults)
                    object.services = [];
                if (options.defaults) {
                    object.shardId = "";
                    object.epoch = 0;
                    object.freeCores = 0;
                    object.freeMemoryMb = 0;
                    object.freeAccelerators = 0;
                    object.waitingTasks = 0;
                    object.runningTasks = 0;
                    object.largestFreeCores = 0;
                    object.largestFreeMemoryMb = 0;
                    object.capacityCores = 0;
                    object.capacityMemoryMb = 0;
                    object.capacityAccelerators = 0;
                    object.workerCores = 0;
                    object.workerMemoryMb = 0;
                    object.workerAccelerators = 0;
                    object.region = "";
                    object.failureDomain = "";
                }
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    object.shardId = message.shardId;
                if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                    object.epoch = options.json && !isFinite(message.epoch) ? String(message.epoch) : message.epoch;
                if (message.freeCores != null && Object.hasOwnProperty.call(message, "freeCores"))
                    object.freeCores = options.json && !isFinite(message.freeCores) ? String(message.freeCores) : message.freeCores;
                if (message.freeMemoryMb != null && Object.hasOwnProperty.call(message, "freeMemoryMb"))
                    object.freeMemoryMb = options.json && !isFinite(message.freeMemoryMb) ? String(message.freeMemoryMb) : message.freeMemoryMb;
                if (message.freeAccelerators != null && Object.hasOwnProperty.call(message, "freeAccelerators"))
                    object.freeAccelerators = message.freeAccelerators;
                if (message.waitingTasks != null && Object.hasOwnProperty.call(message, "waitingTasks"))
                    object.waitingTasks = message.waitingTasks;
                if (message.runningTasks != null && Object.hasOwnProperty.call(message, "runningTasks"))
                    object.runningTasks = message.runningTasks;
                if (message.services && message.services.length) {
                    object.services = [];
                    for (let j = 0; j < message.services.length; ++j)
                        object.services[j] = $root.citronnotch.peer.ServiceState.toObject(message.services[j], options, q + 1);
                }
                if (message.largestFreeCores != null && Object.hasOwnProperty.call(message, "largestFreeCores"))
                    object.largestFreeCores = options.json && !isFinite(message.largestFreeCores) ? String(message.largestFreeCores) : message.largestFreeCores;
                if (message.largestFreeMemoryMb != null && Object.hasOwnProperty.call(message, "largestFreeMemoryMb"))
                    object.largestFreeMemoryMb = options.json && !isFinite(message.largestFreeMemoryMb) ? String(message.largestFreeMemoryMb) : message.largestFreeMemoryMb;
                if (message.capacityCores != null && Object.hasOwnProperty.call(message, "capacityCores"))
                    object.capacityCores = options.json && !isFinite(message.capacityCores) ? String(message.capacityCores) : message.capacityCores;
                if (message.capacityMemoryMb != null && Object.hasOwnProperty.call(message, "capacityMemoryMb"))
                    object.capacityMemoryMb = options.json && !isFinite(message.capacityMemoryMb) ? String(message.capacityMemoryMb) : message.capacityMemoryMb;
                if (message.capacityAccelerators != null && Object.hasOwnProperty.call(message, "capacityAccelerators"))
                    object.capacityAccelerators = message.capacityAccelerators;
                if (message.workerCores != null && Object.hasOwnProperty.call(message, "workerCores"))
                    object.workerCores = options.json && !isFinite(message.workerCores) ? String(message.workerCores) : message.workerCores;
                if (message.workerMemoryMb != null && Object.hasOwnProperty.call(message, "workerMemoryMb"))
                    object.workerMemoryMb = options.json && !isFinite(message.workerMemoryMb) ? String(message.workerMemoryMb) : message.workerMemoryMb;
                if (message.workerAccelerators != null && Object.hasOwnProperty.call(message, "workerAccelerators"))
                    object.workerAccelerators = message.workerAccelerators;
                if (message.region != null && Object.hasOwnProperty.call(message, "region"))
                    object.region = message.region;
                if (message.failureDomain != null && Object.hasOwnProperty.call(message, "failureDomain"))
                    object.failureDomain = message.failureDomain;
                return object;
            };

            /**
             * Converts this ShardState to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.ShardState
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            ShardState.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for ShardState
             * @function getTypeUrl
             * @memberof citronnotch.peer.ShardState
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            ShardState.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.ShardState";
            };

            return ShardState;
        })();

        peer.ServiceState = (function() {

            /**
             * Properties of a ServiceState.
             * @memberof citronnotch.peer
             * @interface IServiceState
             * @property {string|null} [service] ServiceState service
             * @property {number|null} [backendServers] ServiceState backendServers
             * @property {number|null} [freeSlots] ServiceState freeSlots
             * @property {number|null} [queuedRequests] ServiceState queuedRequests
             */

            /**
             * Constructs a new ServiceState.
             * @memberof citronnotch.peer
             * @classdesc Represents a ServiceState.
             * @implements IServiceState
             * @constructor
             * @param {citronnotch.peer.IServiceState=} [properties] Properties to set
             */
            function ServiceState(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * ServiceState service.
             * @member {string} service
             * @memberof citronnotch.peer.ServiceState
             * @instance
             */
            ServiceState.prototype.service = "";

            /**
             * ServiceState backendServers.
             * @member {number} backendServers
             * @memberof citronnotch.peer.ServiceState
             * @instance
             */
            ServiceState.prototype.backendServers = 0;

            /**
             * ServiceState freeSlots.
             * @member {number} freeSlots
             * @memberof citronnotch.peer.ServiceState
             * @instance
             */
            ServiceState.prototype.freeSlots = 0;

            /**
             * ServiceState queuedRequests.
             * @member {number} queuedRequests
             * @memberof citronnotch.peer.ServiceState
             * @instance
             */
            ServiceState.prototype.queuedRequests = 0;

            /**
             * Creates a new ServiceState instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.ServiceState
             * @static
             * @param {citronnotch.peer.IServiceState=} [properties] Properties to set
             * @returns {citronnotch.peer.ServiceState} ServiceState instance
             */
            ServiceState.create = function create(properties) {
                return new ServiceState(properties);
            };

            /**
             * Encodes the specified ServiceState message. Does not implicitly {@link citronnotch.peer.ServiceState.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.ServiceState
             * @static
             * @param {citronnotch.peer.IServiceState} message ServiceState message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ServiceState.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.service != null && Object.hasOwnProperty.call(message, "service"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.service);
                if (message.backendServers != null && Object.hasOwnProperty.call(message, "backendServers"))
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.backendServers);
                if (message.freeSlots != null && Object.hasOwnProperty.call(message, "freeSlots"))
                    writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.freeSlots);
                if (message.queuedRequests != null && Object.hasOwnProperty.call(message, "queuedRequests"))
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.queuedRequests);
                return writer;
            };

            /**
             * Decodes a ServiceState message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.ServiceState
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.ServiceState} ServiceState
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ServiceState.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.ServiceState();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.service = reader.string();
                            break;
                        }
                    case 2: {
                            message.backendServers = reader.uint32();
                            break;
                        }
                    case 3: {
                            message.freeSlots = reader.uint32();
                            break;
                        }
                    case 4: {
                            message.queuedRequests = reader.uint32();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a ServiceState message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.ServiceState
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.ServiceState} ServiceState
             */
            ServiceState.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.ServiceState)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.ServiceState: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.ServiceState();
                if (object.service != null)
                    message.service = String(object.service);
                if (object.backendServers != null)
                    message.backendServers = object.backendServers >>> 0;
                if (object.freeSlots != null)
                    message.freeSlots = object.freeSlots >>> 0;
                if (object.queuedRequests != null)
                    message.queuedRequests = object.queuedRequests >>> 0;
                return message;
            };

            /**
             * Creates a plain object from a ServiceState message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.ServiceState
             * @static
             * @param {citronnotch.peer.ServiceState} message ServiceState
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            ServiceState.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.service = "";
                    object.backendServers = 0;
                    object.freeSlots = 0;
                    object.queuedRequests = 0;
                }
                if (message.service != null && Object.hasOwnProperty.call(message, "service"))
                    object.service = message.service;
                if (message.backendServers != null && Object.hasOwnProperty.call(message, "backendServers"))
                    object.backendServers = message.backendServers;
                if (message.freeSlots != null && Object.hasOwnProperty.call(message, "freeSlots"))
                    object.freeSlots = message.freeSlots;
                if (message.queuedRequests != null && Object.hasOwnProperty.call(message, "queuedRequests"))
                    object.queuedRequests = message.queuedRequests;
                return object;
            };

            /**
             * Converts this ServiceState to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.ServiceState
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            ServiceState.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for ServiceState
             * @function getTypeUrl
             * @memberof citronnotch.peer.ServiceState
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            ServiceState.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.ServiceState";
            };

            return ServiceState;
        })();

        peer.FetchConfigRequest = (function() {

            /**
             * Properties of a FetchConfigRequest.
             * @memberof citronnotch.peer
             * @interface IFetchConfigRequest
             * @property {number|null} [aboveVersion] FetchConfigRequest aboveVersion
             */

            /**
             * Constructs a new FetchConfigRequest.
             * @memberof citronnotch.peer
             * @classdesc Represents a FetchConfigRequest.
             * @implements IFetchConfigRequest
             * @constructor
             * @param {citronnotch.peer.IFetchConfigRequest=} [properties] Properties to set
             */
            function FetchConfigRequest(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * FetchConfigRequest aboveVersion.
             * @member {number} aboveVersion
             * @memberof citronnotch.peer.FetchConfigRequest
             * @instance
             */
            FetchConfigRequest.prototype.aboveVersion = 0;

            /**
             * Creates a new FetchConfigRequest instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.FetchConfigRequest
             * @static
             * @param {citronnotch.peer.IFetchConfigRequest=} [properties] Properties to set
             * @returns {citronnotch.peer.FetchConfigRequest} FetchConfigRequest instance
             */
            FetchConfigRequest.create = function create(properties) {
                return new FetchConfigRequest(properties);
            };

            /**
             * Encodes the specified FetchConfigRequest message. Does not implicitly {@link citronnotch.peer.FetchConfigRequest.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.FetchConfigRequest
             * @static
             * @param {citronnotch.peer.IFetchConfigRequest} message FetchConfigRequest message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            FetchConfigRequest.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.aboveVersion != null && Object.hasOwnProperty.call(message, "aboveVersion"))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.aboveVersion);
                return writer;
            };

            /**
             * Decodes a FetchConfigRequest message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.FetchConfigRequest
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.FetchConfigRequest} FetchConfigRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            FetchConfigRequest.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.FetchConfigRequest();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.aboveVersion = reader.double();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a FetchConfigRequest message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.FetchConfigRequest
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.FetchConfigRequest} FetchConfigRequest
             */
            FetchConfigRequest.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.FetchConfigRequest)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.FetchConfigRequest: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.FetchConfigRequest();
                if (object.aboveVersion != null)
                    message.aboveVersion = Number(object.aboveVersion);
                return message;
            };

            /**
             * Creates a plain object from a FetchConfigRequest message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.FetchConfigRequest
             * @static
             * @param {citronnotch.peer.FetchConfigRequest} message FetchConfigRequest
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            FetchConfigRequest.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults)
                    object.aboveVersion = 0;
                if (message.aboveVersion != null && Object.hasOwnProperty.call(message, "aboveVersion"))
                    object.aboveVersion = options.json && !isFinite(message.aboveVersion) ? String(message.aboveVersion) : message.aboveVersion;
                return object;
            };

            /**
             * Converts this FetchConfigRequest to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.FetchConfigRequest
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            FetchConfigRequest.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for FetchConfigRequest
             * @function getTypeUrl
             * @memberof citronnotch.peer.FetchConfigRequest
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            FetchConfigRequest.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.FetchConfigRequest";
            };

            return FetchConfigRequest;
        })();

        peer.FetchConfigResponse = (function() {

            /**
             * Properties of a FetchConfigResponse.
             * @memberof citronnotch.peer
             * @interface IFetchConfigResponse
             * @property {number|null} [version] FetchConfigResponse version
             * @property {string|null} [contentJson] FetchConfigResponse contentJson
             */

            /**
             * Constructs a new FetchConfigResponse.
             * @memberof citronnotch.peer
             * @classdesc Represents a FetchConfigResponse.
             * @implements IFetchConfigResponse
             * @constructor
             * @param {citronnotch.peer.IFetchConfigResponse=} [properties] Properties to set
             */
            function FetchConfigResponse(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * FetchConfigResponse version.
             * @member {number} version
             * @memberof citronnotch.peer.FetchConfigResponse
             * @instance
             */
            FetchConfigResponse.prototype.version = 0;

            /**
             * FetchConfigResponse contentJson.
             * @member {string} contentJson
             * @memberof citronnotch.peer.FetchConfigResponse
             * @instance
             */
            FetchConfigResponse.prototype.contentJson = "";

            /**
             * Creates a new FetchConfigResponse instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.FetchConfigResponse
             * @static
             * @param {citronnotch.peer.IFetchConfigResponse=} [properties] Properties to set
             * @returns {citronnotch.peer.FetchConfigResponse} FetchConfigResponse instance
             */
            FetchConfigResponse.create = function create(properties) {
                return new FetchConfigResponse(properties);
            };

            /**
             * Encodes the specified FetchConfigResponse message. Does not implicitly {@link citronnotch.peer.FetchConfigResponse.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.FetchConfigResponse
             * @static
             * @param {citronnotch.peer.IFetchConfigResponse} message FetchConfigResponse message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            FetchConfigResponse.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.version != null && Object.hasOwnProperty.call(message, "version"))
                    writer.uint32(/* id 1, wireType 1 =*/9).double(message.version);
                if (message.contentJson != null && Object.hasOwnProperty.call(message, "contentJson"))
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.contentJson);
                return writer;
            };

            /**
             * Decodes a FetchConfigResponse message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.FetchConfigResponse
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.FetchConfigResponse} FetchConfigResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            FetchConfigResponse.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.FetchConfigResponse();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.version = reader.double();
                            break;
                        }
                    case 2: {
                            message.contentJson = reader.string();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a FetchConfigResponse message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.FetchConfigResponse
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.FetchConfigResponse} FetchConfigResponse
             */
            FetchConfigResponse.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.FetchConfigResponse)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.FetchConfigResponse: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.FetchConfigResponse();
                if (object.version != null)
                    message.version = Number(object.version);
                if (object.contentJson != null)
                    message.contentJson = String(object.contentJson);
                return message;
            };

            /**
             * Creates a plain object from a FetchConfigResponse message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.FetchConfigResponse
             * @static
             * @param {citronnotch.peer.FetchConfigResponse} message FetchConfigResponse
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            FetchConfigResponse.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.version = 0;
                    object.contentJson = "";
                }
                if (message.version != null && Object.hasOwnProperty.call(message, "version"))
                    object.version = options.json && !isFinite(message.version) ? String(message.version) : message.version;
                if (message.contentJson != null && Object.hasOwnProperty.call(message, "contentJson"))
                    object.contentJson = message.contentJson;
                return object;
            };

            /**
             * Converts this FetchConfigResponse to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.FetchConfigResponse
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            FetchConfigResponse.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for FetchConfigResponse
             * @function getTypeUrl
             * @memberof citronnotch.peer.FetchConfigResponse
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            FetchConfigResponse.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.FetchConfigResponse";
            };

            return FetchConfigResponse;
        })();

        peer.RequestHead = (function() {

            /**
             * Properties of a RequestHead.
             * @memberof citronnotch.peer
             * @interface IRequestHead
             * @property {string|null} [requestId] RequestHead requestId
             * @property {string|null} [service] RequestHead service
             * @property {string|null} [shardId] RequestHead shardId
             * @property {string|null} [method] RequestHead method
             * @property {string|null} [path] RequestHead path
             * @property {Array.<citronnotch.peer.IHeader>|null} [headers] RequestHead headers
             * @property {string|null} [team] RequestHead team
             * @property {number|null} [deadlineMs] RequestHead deadlineMs
             * @property {boolean|null} [idempotent] RequestHead idempotent
             * @property {citronnotch.peer.IHlc|null} [hlc] RequestHead hlc
             * @property {string|null} [entryRegion] RequestHead entryRegion
             */

            /**
             * Constructs a new RequestHead.
             * @memberof citronnotch.peer
             * @classdesc Represents a RequestHead.
             * @implements IRequestHead
             * @constructor
             * @param {citronnotch.peer.IRequestHead=} [properties] Properties to set
             */
            function RequestHead(properties) {
                this.headers = [];
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * RequestHead requestId.
             * @member {string} requestId
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.requestId = "";

            /**
             * RequestHead service.
             * @member {string} service
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.service = "";

            /**
             * RequestHead shardId.
             * @member {string} shardId
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.shardId = "";

            /**
             * RequestHead method.
             * @member {string} method
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.method = "";

            /**
             * RequestHead path.
             * @member {string} path
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.path = "";

            /**
             * RequestHead headers.
             * @member {Array.<citronnotch.peer.IHeader>} headers
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.headers = $util.emptyArray;

            /**
             * RequestHead team.
             * @member {string} team
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.team = "";

            /**
             * RequestHead deadlineMs.
             * @member {number} deadlineMs
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.deadlineMs = 0;

            /**
             * RequestHead idempotent.
             * @member {boolean} idempotent
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.idempotent = false;

            /**
             * RequestHead hlc.
             * @member {citronnotch.peer.IHlc|null|undefined} hlc
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.hlc = null;

            /**
             * RequestHead entryRegion.
             * @member {string} entryRegion
             * @memberof citronnotch.peer.RequestHead
             * @instance
             */
            RequestHead.prototype.entryRegion = "";

            /**
             * Creates a new RequestHead instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.RequestHead
             * @static
             * @param {citronnotch.peer.IRequestHead=} [properties] Properties to set
             * @returns {citronnotch.peer.RequestHead} RequestHead instance
             */
            RequestHead.create = function create(properties) {
                return new RequestHead(properties);
            };

            /**
             * Encodes the specified RequestHead message. Does not implicitly {@link citronnotch.peer.RequestHead.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.RequestHead
             * @static
             * @param {citronnotch.peer.IRequestHead} message RequestHead message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RequestHead.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.requestId != null && Object.hasOwnProperty.call(message, "requestId"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.requestId);
                if (message.service != null && Object.hasOwnProperty.call(message, "service"))
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.service);
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.shardId);
                if (message.method != null && Object.hasOwnProperty.call(message, "method"))
                    writer.uint32(/* id 4, wireType 2 =*/34).string(message.method);
                if (message.path != null && Object.hasOwnProperty.call(message, "path"))
                    writer.uint32(/* id 5, wireType 2 =*/42).string(message.path);
                if (message.headers != null && message.headers.length)
                    for (let i = 0; i < message.headers.length; ++i)
                        $root.citronnotch.peer.Header.encode(message.headers[i], writer.uint32(/* id 6, wireType 2 =*/50).fork(), q + 1).ldelim();
                if (message.team != null && Object.hasOwnProperty.call(message, "team"))
                    writer.uint32(/* id 7, wireType 2 =*/58).string(message.team);
                if (message.deadlineMs != null && Object.hasOwnProperty.call(message, "deadlineMs"))
                    writer.uint32(/* id 8, wireType 0 =*/64).uint32(message.deadlineMs);
                if (message.idempotent != null && Object.hasOwnProperty.call(message, "idempotent"))
                    writer.uint32(/* id 9, wireType 0 =*/72).bool(message.idempotent);
                if (message.hlc != null && Object.hasOwnProperty.call(message, "hlc"))
                    $root.citronnotch.peer.Hlc.encode(message.hlc, writer.uint32(/* id 10, wireType 2 =*/82).fork(), q + 1).ldelim();
                if (message.entryRegion != null && Object.hasOwnProperty.call(message, "entryRegion"))
                    writer.uint32(/* id 11, wireType 2 =*/90).string(message.entryRegion);
                return writer;
            };

            /**
             * Decodes a RequestHead message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.RequestHead
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.RequestHead} RequestHead
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RequestHead.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.RequestHead();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.requestId = reader.string();
                            break;
                        }
                    case 2: {
                            message.service = reader.string();
                            break;
                        }
                    case 3: {
                            message.shardId = reader.string();
                            break;
                        }
                    case 4: {
                            message.method = reader.string();
                            break;
                        }
                    case 5: {
                            message.path = reader.string();
                            break;
                        }
                    case 6: {
                            if (!(message.headers && message.headers.length))
                                message.headers = [];
                            message.headers.push($root.citronnotch.peer.Header.decode(reader, reader.uint32(), undefined, long + 1));
                            break;
                        }
                    case 7: {
                            message.team = reader.string();
                            break;
                        }
                    case 8: {
                            message.deadlineMs = reader.uint32();
                            break;
                        }
                    case 9: {
                            message.idempotent = reader.bool();
                            break;
                        }
                    case 10: {
                            message.hlc = $root.citronnotch.peer.Hlc.decode(reader, reader.uint32(), undefined, long + 1);
                            break;
                        }
                    case 11: {
                            message.entryRegion = reader.string();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a RequestHead message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.RequestHead
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.RequestHead} RequestHead
             */
            RequestHead.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.RequestHead)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.RequestHead: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.RequestHead();
                if (object.requestId != null)
                    message.requestId = String(object.requestId);
                if (object.service != null)
                    message.service = String(object.service);
                if (object.shardId != null)
                    message.shardId = String(object.shardId);
                if (object.method != null)
                    message.method = String(object.method);
                if (object.path != null)
                    message.path = String(object.path);
                if (object.headers) {
                    if (!Array.isArray(object.headers))
                        throw TypeError(".citronnotch.peer.RequestHead.headers: array expected");
                    message.headers = [];
                    for (let i = 0; i < object.headers.length; ++i) {
                        if (!$util.isObject(object.headers[i]))
                            throw TypeError(".citronnotch.peer.RequestHead.headers: object expected");
                        message.headers[i] = $root.citronnotch.peer.Header.fromObject(object.headers[i], long + 1);
                    }
                }
                if (object.team != null)
                    message.team = String(object.team);
                if (object.deadlineMs != null)
                    message.deadlineMs = object.deadlineMs >>> 0;
                if (object.idempotent != null)
                    message.idempotent = Boolean(object.idempotent);
                if (object.hlc != null) {
                    if (!$util.isObject(object.hlc))
                        throw TypeError(".citronnotch.peer.RequestHead.hlc: object expected");
                    message.hlc = $root.citronnotch.peer.Hlc.fromObject(object.hlc, long + 1);
                }
                if (object.entryRegion != null)
                    message.entryRegion = String(object.entryRegion);
                return message;
            };

            /**
             * Creates a plain object from a RequestHead message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.RequestHead
             * @static
             * @param {citronnotch.peer.RequestHead} message RequestHead
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            RequestHead.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.arrays || options.defaults)
                    object.headers = [];
                if (options.defaults) {
                    object.requestId = "";
                    object.service = "";
                    object.shardId = "";
                    object.method = "";
                    object.path = "";
                    object.team = "";
                    object.deadlineMs = 0;
                    object.idempotent = false;
                    object.hlc = null;
                    object.entryRegion = "";
                }
                if (message.requestId != null && Object.hasOwnProperty.call(message, "requestId"))
                    object.requestId = message.requestId;
                if (message.service != null && Object.hasOwnProperty.call(message, "service"))
                    object.service = message.service;
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    object.shardId = message.shardId;
                if (message.method != null && Object.hasOwnProperty.call(message, "method"))
                    object.method = message.method;
                if (message.path != null && Object.hasOwnProperty.call(message, "path"))
                    object.path = message.path;
                if (message.headers && message.headers.length) {
                    object.headers = [];
                    for (let j = 0; j < message.headers.length; ++j)
                        object.headers[j] = $root.citronnotch.peer.Header.toObject(message.headers[j], options, q + 1);
                }
                if (message.team != null && Object.hasOwnProperty.call(message, "team"))
                    object.team = message.team;
                if (message.deadlineMs != null && Object.hasOwnProperty.call(message, "deadlineMs"))
                    object.deadlineMs = message.deadlineMs;
                if (message.idempotent != null && Object.hasOwnProperty.call(message, "idempotent"))
                    object.idempotent = message.idempotent;
                if (message.hlc != null && Object.hasOwnProperty.call(message, "hlc"))
                    object.hlc = $root.citronnotch.peer.Hlc.toObject(message.hlc, options, q + 1);
                if (message.entryRegion != null && Object.hasOwnProperty.call(message, "entryRegion"))
                    object.entryRegion = message.entryRegion;
                return object;
            };

            /**
             * Converts this RequestHead to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.RequestHead
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            RequestHead.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for RequestHead
             * @function getTypeUrl
             * @memberof citronnotch.peer.RequestHead
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            RequestHead.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.RequestHead";
            };

            return RequestHead;
        })();

        peer.Header = (function() {

            /**
             * Properties of a Header.
             * @memberof citronnotch.peer
             * @interface IHeader
             * @property {string|null} [name] Header name
             * @property {string|null} [value] Header value
             */

            /**
             * Constructs a new Header.
             * @memberof citronnotch.peer
             * @classdesc Represents a Header.
             * @implements IHeader
             * @constructor
             * @param {citronnotch.peer.IHeader=} [properties] Properties to set
             */
            function Header(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * Header name.
             * @member {string} name
             * @memberof citronnotch.peer.Header
             * @instance
             */
            Header.prototype.name = "";

            /**
             * Header value.
             * @member {string} value
             * @memberof citronnotch.peer.Header
             * @instance
             */
            Header.prototype.value = "";

            /**
             * Creates a new Header instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.Header
             * @static
             * @param {citronnotch.peer.IHeader=} [properties] Properties to set
             * @returns {citronnotch.peer.Header} Header instance
             */
            Header.create = function create(properties) {
                return new Header(properties);
            };

            /**
             * Encodes the specified Header message. Does not implicitly {@link citronnotch.peer.Header.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.Header
             * @static
             * @param {citronnotch.peer.IHeader} message Header message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            Header.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.name != null && Object.hasOwnProperty.call(message, "name"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.name);
                if (message.value != null && Object.hasOwnProperty.call(message, "value"))
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.value);
                return writer;
            };

            /**
             * Decodes a Header message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.Header
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.Header} Header
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            Header.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.Header();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.name = reader.string();
                            break;
                        }
                    case 2: {
                            message.value = reader.string();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a Header message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.Header
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.Header} Header
             */
            Header.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.Header)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.Header: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.Header();
                if (object.name != null)
                    message.name = String(object.name);
                if (object.value != null)
                    message.value = String(object.value);
                return message;
            };

            /**
             * Creates a plain object from a Header message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.Header
             * @static
             * @param {citronnotch.peer.Header} message Header
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            Header.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.name = "";
                    object.value = "";
                }
                if (message.name != null && Object.hasOwnProperty.call(message, "name"))
                    object.name = message.name;
                if (message.value != null && Object.hasOwnProperty.call(message, "value"))
                    object.value = message.value;
                return object;
            };

            /**
             * Converts this Header to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.Header
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            Header.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for Header
             * @function getTypeUrl
             * @memberof citronnotch.peer.Header
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            Header.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.Header";
            };

            return Header;
        })();

        peer.RequestFrame = (function() {

            /**
             * Properties of a RequestFrame.
             * @memberof citronnotch.peer
             * @interface IRequestFrame
             * @property {citronnotch.peer.IRequestHead|null} [head] RequestFrame head
             * @property {Uint8Array|null} [body] RequestFrame body
             * @property {boolean|null} [end] RequestFrame end
             */

            /**
             * Constructs a new RequestFrame.
             * @memberof citronnotch.peer
             * @classdesc Represents a RequestFrame.
             * @implements IRequestFrame
             * @constructor
             * @param {citronnotch.peer.IRequestFrame=} [properties] Properties to set
             */
            function RequestFrame(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * RequestFrame head.
             * @member {citronnotch.peer.IRequestHead|null|undefined} head
             * @memberof citronnotch.peer.RequestFrame
             * @instance
             */
            RequestFrame.prototype.head = null;

            /**
             * RequestFrame body.
             * @member {Uint8Array|null|undefined} body
             * @memberof citronnotch.peer.RequestFrame
             * @instance
             */
            RequestFrame.prototype.body = null;

            /**
             * RequestFrame end.
             * @member {boolean|null|undefined} end
             * @memberof citronnotch.peer.RequestFrame
             * @instance
             */
            RequestFrame.prototype.end = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            /**
             * RequestFrame frame.
             * @member {"head"|"body"|"end"|undefined} frame
             * @memberof citronnotch.peer.RequestFrame
             * @instance
             */
            Object.defineProperty(RequestFrame.prototype, "frame", {
                get: $util.oneOfGetter($oneOfFields = ["head", "body", "end"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Creates a new RequestFrame instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.RequestFrame
             * @static
             * @param {citronnotch.peer.IRequestFrame=} [properties] Properties to set
             * @returns {citronnotch.peer.RequestFrame} RequestFrame instance
             */
            RequestFrame.create = function create(properties) {
                return new RequestFrame(properties);
            };

            /**
             * Encodes the specified RequestFrame message. Does not implicitly {@link citronnotch.peer.RequestFrame.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.RequestFrame
             * @static
             * @param {citronnotch.peer.IRequestFrame} message RequestFrame message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RequestFrame.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.head != null && Object.hasOwnProperty.call(message, "head"))
                    $root.citronnotch.peer.RequestHead.encode(message.head, writer.uint32(/* id 1, wireType 2 =*/10).fork(), q + 1).ldelim();
                if (message.body != null && Object.hasOwnProperty.call(message, "body"))
                    writer.uint32(/* id 2, wireType 2 =*/18).bytes(message.body);
                if (message.end != null && Object.hasOwnProperty.call(message, "end"))
                    writer.uint32(/* id 3, wireType 0 =*/24).bool(message.end);
                return writer;
            };

            /**
             * Decodes a RequestFrame message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.RequestFrame
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.RequestFrame} RequestFrame
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RequestFrame.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.RequestFrame();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.head = $root.citronnotch.peer.RequestHead.decode(reader, reader.uint32(), undefined, long + 1);
                            break;
                        }
                    case 2: {
                            message.body = reader.bytes();
                            break;
                        }
                    case 3: {
                            message.end = reader.bool();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a RequestFrame message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.RequestFrame
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.RequestFrame} RequestFrame
             */
            RequestFrame.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.RequestFrame)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.RequestFrame: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.RequestFrame();
                if (object.head != null) {
                    if (!$util.isObject(object.head))
                        throw TypeError(".citronnotch.peer.RequestFrame.head: object expected");
                    message.head = $root.citronnotch.peer.RequestHead.fromObject(object.head, long + 1);
                }
                if (object.body != null)
                    if (typeof object.body === "string")
                        $util.base64.decode(object.body, message.body = $util.newBuffer($util.base64.length(object.body)), 0);
                    else if (object.body.length >= 0)
                        message.body = object.body;
                if (object.end != null)
                    message.end = Boolean(object.end);
                return message;
            };

            /**
             * Creates a plain object from a RequestFrame message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.RequestFrame
             * @static
             * @param {citronnotch.peer.RequestFrame} message RequestFrame
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            RequestFrame.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (message.head != null && Object.hasOwnProperty.call(message, "head")) {
                    object.head = $root.citronnotch.peer.RequestHead.toObject(message.head, options, q + 1);
                    if (options.oneofs)
                        object.frame = "head";
                }
                if (message.body != null && Object.hasOwnProperty.call(message, "body")) {
                    object.body = options.bytes === String ? $util.base64.encode(message.body, 0, message.body.length) : options.bytes === Array ? Array.prototype.slice.call(message.body) : message.body;
                    if (options.oneofs)
                        object.frame = "body";
                }
                if (message.end != null && Object.hasOwnProperty.call(message, "end")) {
                    object.end = message.end;
                    if (options.oneofs)
                        object.frame = "end";
                }
                return object;
            };

            /**
             * Converts this RequestFrame to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.RequestFrame
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            RequestFrame.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for RequestFrame
             * @function getTypeUrl
             * @memberof citronnotch.peer.RequestFrame
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            RequestFrame.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.RequestFrame";
            };

            return RequestFrame;
        })();

        peer.ResponseHead = (function() {

            /**
             * Properties of a ResponseHead.
             * @memberof citronnotch.peer
             * @interface IResponseHead
             * @property {number|null} [status] ResponseHead status
             * @property {Array.<citronnotch.peer.IHeader>|null} [headers] ResponseHead headers
             * @property {string|null} [taskId] ResponseHead taskId
             * @property {string|null} [workerId] ResponseHead workerId
             */

            /**
             * Constructs a new ResponseHead.
             * @memberof citronnotch.peer
             * @classdesc Represents a ResponseHead.
             * @implements IResponseHead
             * @constructor
             * @param {citronnotch.peer.IResponseHead=} [properties] Properties to set
             */
            function ResponseHead(properties) {
                this.headers = [];
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * ResponseHead status.
             * @member {number} status
             * @memberof citronnotch.peer.ResponseHead
             * @instance
             */
            ResponseHead.prototype.status = 0;

            /**
             * ResponseHead headers.
             * @member {Array.<citronnotch.peer.IHeader>} headers
             * @memberof citronnotch.peer.ResponseHead
             * @instance
             */
            ResponseHead.prototype.headers = $util.emptyArray;

            /**
             * ResponseHead taskId.
             * @member {string} taskId
             * @memberof citronnotch.peer.ResponseHead
             * @instance
             */
            ResponseHead.prototype.taskId = "";

            /**
             * ResponseHead workerId.
             * @member {string} workerId
             * @memberof citronnotch.peer.ResponseHead
             * @instance
             */
            ResponseHead.prototype.workerId = "";

            /**
             * Creates a new ResponseHead instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.ResponseHead
             * @static
             * @param {citronnotch.peer.IResponseHead=} [properties] Properties to set
             * @returns {citronnotch.peer.ResponseHead} ResponseHead instance
             */
            ResponseHead.create = function create(properties) {
                return new ResponseHead(properties);
            };

            /**
             * Encodes the specified ResponseHead message. Does not implicitly {@link citronnotch.peer.ResponseHead.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.ResponseHead
             * @static
             * @param {citronnotch.peer.IResponseHead} message ResponseHead message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ResponseHead.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.status != null && Object.hasOwnProperty.call(message, "status"))
                    writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.status);
                if (message.headers != null && message.headers.length)
                    for (let i = 0; i < message.headers.length; ++i)
                        $root.citronnotch.peer.Header.encode(message.headers[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
                if (message.taskId != null && Object.hasOwnProperty.call(message, "taskId"))
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.taskId);
                if (message.workerId != null && Object.hasOwnProperty.call(message, "workerId"))
                    writer.uint32(/* id 4, wireType 2 =*/34).string(message.workerId);
                return writer;
            };

            /**
             * Decodes a ResponseHead message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.ResponseHead
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.ResponseHead} ResponseHead
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ResponseHead.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.ResponseHead();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.status = reader.uint32();
                            break;
                        }
                    case 2: {
                            if (!(message.headers && message.headers.length))
                                message.headers = [];
                            message.headers.push($root.citronnotch.peer.Header.decode(reader, reader.uint32(), undefined, long + 1));
                            break;
                        }
                    case 3: {
                            message.taskId = reader.string();
                            break;
                        }
                    case 4: {
                            message.workerId = reader.string();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a ResponseHead message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.ResponseHead
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.ResponseHead} ResponseHead
             */
            ResponseHead.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.ResponseHead)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.ResponseHead: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.ResponseHead();
                if (object.status != null)
                    message.status = object.status >>> 0;
                if (object.headers) {
                    if (!Array.isArray(object.headers))
                        throw TypeError(".citronnotch.peer.ResponseHead.headers: array expected");
                    message.headers = [];
                    for (let i = 0; i < object.headers.length; ++i) {
                        if (!$util.isObject(object.headers[i]))
                            throw TypeError(".citronnotch.peer.ResponseHead.headers: object expected");
                        message.headers[i] = $root.citronnotch.peer.Header.fromObject(object.headers[i], long + 1);
                    }
                }
                if (object.taskId != null)
                    message.taskId = String(object.taskId);
                if (object.workerId != null)
                    message.workerId = String(object.workerId);
                return message;
            };

            /**
             * Creates a plain object from a ResponseHead message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.ResponseHead
             * @static
             * @param {citronnotch.peer.ResponseHead} message ResponseHead
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            ResponseHead.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.arrays || options.defaults)
                    object.headers = [];
                if (options.defaults) {
                    object.status = 0;
                    object.taskId = "";
                    object.workerId = "";
                }
                if (message.status != null && Object.hasOwnProperty.call(message, "status"))
                    object.status = message.status;
                if (message.headers && message.headers.length) {
                    object.headers = [];
                    for (let j = 0; j < message.headers.length; ++j)
                        object.headers[j] = $root.citronnotch.peer.Header.toObject(message.headers[j], options, q + 1);
                }
                if (message.taskId != null && Object.hasOwnProperty.call(message, "taskId"))
                    object.taskId = message.taskId;
                if (message.workerId != null && Object.hasOwnProperty.call(message, "workerId"))
                    object.workerId = message.workerId;
                return object;
            };

            /**
             * Converts this ResponseHead to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.ResponseHead
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            ResponseHead.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for ResponseHead
             * @function getTypeUrl
             * @memberof citronnotch.peer.ResponseHead
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            ResponseHead.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.ResponseHead";
            };

            return ResponseHead;
        })();

        peer.RouteFailure = (function() {

            /**
             * Properties of a RouteFailure.
             * @memberof citronnotch.peer
             * @interface IRouteFailure
             * @property {string|null} [verdict] RouteFailure verdict
             * @property {string|null} [code] RouteFailure code
             * @property {string|null} [reason] RouteFailure reason
             */

            /**
             * Constructs a new RouteFailure.
             * @memberof citronnotch.peer
             * @classdesc Represents a RouteFailure.
             * @implements IRouteFailure
             * @constructor
             * @param {citronnotch.peer.IRouteFailure=} [properties] Properties to set
             */
            function RouteFailure(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * RouteFailure verdict.
             * @member {string} verdict
             * @memberof citronnotch.peer.RouteFailure
             * @instance
             */
            RouteFailure.prototype.verdict = "";

            /**
             * RouteFailure code.
             * @member {string} code
             * @memberof citronnotch.peer.RouteFailure
             * @instance
             */
            RouteFailure.prototype.code = "";

            /**
             * RouteFailure reason.
             * @member {string} reason
             * @memberof citronnotch.peer.RouteFailure
             * @instance
             */
            RouteFailure.prototype.reason = "";

            /**
             * Creates a new RouteFailure instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.RouteFailure
             * @static
             * @param {citronnotch.peer.IRouteFailure=} [properties] Properties to set
             * @returns {citronnotch.peer.RouteFailure} RouteFailure instance
             */
            RouteFailure.create = function create(properties) {
                return new RouteFailure(properties);
            };

            /**
             * Encodes the specified RouteFailure message. Does not implicitly {@link citronnotch.peer.RouteFailure.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.RouteFailure
             * @static
             * @param {citronnotch.peer.IRouteFailure} message RouteFailure message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            RouteFailure.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.verdict != null && Object.hasOwnProperty.call(message, "verdict"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.verdict);
                if (message.code != null && Object.hasOwnProperty.call(message, "code"))
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.code);
                if (message.reason != null && Object.hasOwnProperty.call(message, "reason"))
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.reason);
                return writer;
            };

            /**
             * Decodes a RouteFailure message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.RouteFailure
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.RouteFailure} RouteFailure
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            RouteFailure.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.RouteFailure();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.verdict = reader.string();
                            break;
                        }
                    case 2: {
                            message.code = reader.string();
                            break;
                        }
                    case 3: {
                            message.reason = reader.string();
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a RouteFailure message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.RouteFailure
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.RouteFailure} RouteFailure
             */
            RouteFailure.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.RouteFailure)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.RouteFailure: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.RouteFailure();
                if (object.verdict != null)
                    message.verdict = String(object.verdict);
                if (object.code != null)
                    message.code = String(object.code);
                if (object.reason != null)
                    message.reason = String(object.reason);
                return message;
            };

            /**
             * Creates a plain object from a RouteFailure message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.RouteFailure
             * @static
             * @param {citronnotch.peer.RouteFailure} message RouteFailure
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            RouteFailure.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.verdict = "";
                    object.code = "";
                    object.reason = "";
                }
                if (message.verdict != null && Object.hasOwnProperty.call(message, "verdict"))
                    object.verdict = message.verdict;
                if (message.code != null && Object.hasOwnProperty.call(message, "code"))
                    object.code = message.code;
                if (message.reason != null && Object.hasOwnProperty.call(message, "reason"))
                    object.reason = message.reason;
                return object;
            };

            /**
             * Converts this RouteFailure to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.RouteFailure
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            RouteFailure.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for RouteFailure
             * @function getTypeUrl
             * @memberof citronnotch.peer.RouteFailure
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            RouteFailure.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.RouteFailure";
            };

            return RouteFailure;
        })();

        peer.ResponseFrame = (function() {

            /**
             * Properties of a ResponseFrame.
             * @memberof citronnotch.peer
             * @interface IResponseFrame
             * @property {citronnotch.peer.IResponseHead|null} [head] ResponseFrame head
             * @property {Uint8Array|null} [body] ResponseFrame body
             * @property {boolean|null} [end] ResponseFrame end
             * @property {citronnotch.peer.IRouteFailure|null} [failure] ResponseFrame failure
             */

            /**
             * Constructs a new ResponseFrame.
             * @memberof citronnotch.peer
             * @classdesc Represents a ResponseFrame.
             * @implements IResponseFrame
             * @constructor
             * @param {citronnotch.peer.IResponseFrame=} [properties] Properties to set
             */
            function ResponseFrame(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * ResponseFrame head.
             * @member {citronnotch.peer.IResponseHead|null|undefined} head
             * @memberof citronnotch.peer.ResponseFrame
             * @instance
             */
            ResponseFrame.prototype.head = null;

            /**
             * ResponseFrame body.
             * @member {Uint8Array|null|undefined} body
             * @memberof citronnotch.peer.ResponseFrame
             * @instance
             */
            ResponseFrame.prototype.body = null;

            /**
             * ResponseFrame end.
             * @member {boolean|null|undefined} end
             * @memberof citronnotch.peer.ResponseFrame
             * @instance
             */
            ResponseFrame.prototype.end = null;

            /**
             * ResponseFrame failure.
             * @member {citronnotch.peer.IRouteFailure|null|undefined} failure
             * @memberof citronnotch.peer.ResponseFrame
             * @instance
             */
            ResponseFrame.prototype.failure = null;

            // OneOf field names bound to virtual getters and setters
            let $oneOfFields;

            /**
             * ResponseFrame frame.
             * @member {"head"|"body"|"end"|"failure"|undefined} frame
             * @memberof citronnotch.peer.ResponseFrame
             * @instance
             */
            Object.defineProperty(ResponseFrame.prototype, "frame", {
                get: $util.oneOfGetter($oneOfFields = ["head", "body", "end", "failure"]),
                set: $util.oneOfSetter($oneOfFields)
            });

            /**
             * Creates a new ResponseFrame instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.ResponseFrame
             * @static
             * @param {citronnotch.peer.IResponseFrame=} [properties] Properties to set
             * @returns {citronnotch.peer.ResponseFrame} ResponseFrame instance
             */
            ResponseFrame.create = function create(properties) {
                return new ResponseFrame(properties);
            };

            /**
             * Encodes the specified ResponseFrame message. Does not implicitly {@link citronnotch.peer.ResponseFrame.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.ResponseFrame
             * @static
             * @param {citronnotch.peer.IResponseFrame} message ResponseFrame message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            ResponseFrame.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.head != null && Object.hasOwnProperty.call(message, "head"))
                    $root.citronnotch.peer.ResponseHead.encode(message.head, writer.uint32(/* id 1, wireType 2 =*/10).fork(), q + 1).ldelim();
                if (message.body != null && Object.hasOwnProperty.call(message, "body"))
                    writer.uint32(/* id 2, wireType 2 =*/18).bytes(message.body);
                if (message.end != null && Object.hasOwnProperty.call(message, "end"))
                    writer.uint32(/* id 3, wireType 0 =*/24).bool(message.end);
                if (message.failure != null && Object.hasOwnProperty.call(message, "failure"))
                    $root.citronnotch.peer.RouteFailure.encode(message.failure, writer.uint32(/* id 4, wireType 2 =*/34).fork(), q + 1).ldelim();
                return writer;
            };

            /**
             * Decodes a ResponseFrame message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.ResponseFrame
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.ResponseFrame} ResponseFrame
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            ResponseFrame.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.ResponseFrame();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.head = $root.citronnotch.peer.ResponseHead.decode(reader, reader.uint32(), undefined, long + 1);
                            break;
                        }
                    case 2: {
                            message.body = reader.bytes();
                            break;
                        }
                    case 3: {
                            message.end = reader.bool();
                            break;
                        }
                    case 4: {
                            message.failure = $root.citronnotch.peer.RouteFailure.decode(reader, reader.uint32(), undefined, long + 1);
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a ResponseFrame message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.ResponseFrame
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.ResponseFrame} ResponseFrame
             */
            ResponseFrame.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.ResponseFrame)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.ResponseFrame: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.ResponseFrame();
                if (object.head != null) {
                    if (!$util.isObject(object.head))
                        throw TypeError(".citronnotch.peer.ResponseFrame.head: object expected");
                    message.head = $root.citronnotch.peer.ResponseHead.fromObject(object.head, long + 1);
                }
                if (object.body != null)
                    if (typeof object.body === "string")
                        $util.base64.decode(object.body, message.body = $util.newBuffer($util.base64.length(object.body)), 0);
                    else if (object.body.length >= 0)
                        message.body = object.body;
                if (object.end != null)
                    message.end = Boolean(object.end);
                if (object.failure != null) {
                    if (!$util.isObject(object.failure))
                        throw TypeError(".citronnotch.peer.ResponseFrame.failure: object expected");
                    message.failure = $root.citronnotch.peer.RouteFailure.fromObject(object.failure, long + 1);
                }
                return message;
            };

            /**
             * Creates a plain object from a ResponseFrame message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.ResponseFrame
             * @static
             * @param {citronnotch.peer.ResponseFrame} message ResponseFrame
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            ResponseFrame.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (message.head != null && Object.hasOwnProperty.call(message, "head")) {
                    object.head = $root.citronnotch.peer.ResponseHead.toObject(message.head, options, q + 1);
                    if (options.oneofs)
                        object.frame = "head";
                }
                if (message.body != null && Object.hasOwnProperty.call(message, "body")) {
                    object.body = options.bytes === String ? $util.base64.encode(message.body, 0, message.body.length) : options.bytes === Array ? Array.prototype.slice.call(message.body) : message.body;
                    if (options.oneofs)
                        object.frame = "body";
                }
                if (message.end != null && Object.hasOwnProperty.call(message, "end")) {
                    object.end = message.end;
                    if (options.oneofs)
                        object.frame = "end";
                }
                if (message.failure != null && Object.hasOwnProperty.call(message, "failure")) {
                    object.failure = $root.citronnotch.peer.RouteFailure.toObject(message.failure, options, q + 1);
                    if (options.oneofs)
                        object.frame = "failure";
                }
                return object;
            };

            /**
             * Converts this ResponseFrame to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.ResponseFrame
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            ResponseFrame.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for ResponseFrame
             * @function getTypeUrl
             * @memberof citronnotch.peer.ResponseFrame
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            ResponseFrame.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.ResponseFrame";
            };

            return ResponseFrame;
        })();

        peer.NotifyPartRequest = (function() {

            /**
             * Properties of a NotifyPartRequest.
             * @memberof citronnotch.peer
             * @interface INotifyPartRequest
             * @property {string|null} [shardId] NotifyPartRequest shardId
             * @property {string|null} [jobId] NotifyPartRequest jobId
             * @property {citronnotch.peer.IHlc|null} [hlc] NotifyPartRequest hlc
             */

            /**
             * Constructs a new NotifyPartRequest.
             * @memberof citronnotch.peer
             * @classdesc Represents a NotifyPartRequest.
             * @implements INotifyPartRequest
             * @constructor
             * @param {citronnotch.peer.INotifyPartRequest=} [properties] Properties to set
             */
            function NotifyPartRequest(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * NotifyPartRequest shardId.
             * @member {string} shardId
             * @memberof citronnotch.peer.NotifyPartRequest
             * @instance
             */
            NotifyPartRequest.prototype.shardId = "";

            /**
             * NotifyPartRequest jobId.
             * @member {string} jobId
             * @memberof citronnotch.peer.NotifyPartRequest
             * @instance
             */
            NotifyPartRequest.prototype.jobId = "";

            /**
             * NotifyPartRequest hlc.
             * @member {citronnotch.peer.IHlc|null|undefined} hlc
             * @memberof citronnotch.peer.NotifyPartRequest
             * @instance
             */
            NotifyPartRequest.prototype.hlc = null;

            /**
             * Creates a new NotifyPartRequest instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.NotifyPartRequest
             * @static
             * @param {citronnotch.peer.INotifyPartRequest=} [properties] Properties to set
             * @returns {citronnotch.peer.NotifyPartRequest} NotifyPartRequest instance
             */
            NotifyPartRequest.create = function create(properties) {
                return new NotifyPartRequest(properties);
            };

            /**
             * Encodes the specified NotifyPartRequest message. Does not implicitly {@link citronnotch.peer.NotifyPartRequest.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.NotifyPartRequest
             * @static
             * @param {citronnotch.peer.INotifyPartRequest} message NotifyPartRequest message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            NotifyPartRequest.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.shardId);
                if (message.jobId != null && Object.hasOwnProperty.call(message, "jobId"))
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.jobId);
                if (message.hlc != null && Object.hasOwnProperty.call(message, "hlc"))
                    $root.citronnotch.peer.Hlc.encode(message.hlc, writer.uint32(/* id 3, wireType 2 =*/26).fork(), q + 1).ldelim();
                return writer;
            };

            /**
             * Decodes a NotifyPartRequest message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.NotifyPartRequest
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.NotifyPartRequest} NotifyPartRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            NotifyPartRequest.decode = function decode(reader, length, error, long) {
                if (!(reader instanceof $Reader))
                    reader = $Reader.create(reader);
                if (long === undefined)
                    long = 0;
                if (long > $Reader.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let end, message;
                if (length === undefined)
                    end = reader.len;
                else {
                    end = reader.pos + length;
                    if (end > reader.len)
                        throw RangeError("index out of range");
                    length = reader.len;
                    reader.len = end;
                }
                message = new $root.citronnotch.peer.NotifyPartRequest();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.shardId = reader.string();
                            break;
                        }
                    case 2: {
                            message.jobId = reader.string();
                            break;
                        }
                    case 3: {
                            message.hlc = $root.citronnotch.peer.Hlc.decode(reader, reader.uint32(), undefined, long + 1);
                            break;
                        }
                    default:
                        reader.skipType(tag & 7, long);
                        break;
                    }
                }
                if (length !== undefined) {
                    if (reader.pos !== end)
                        throw RangeError("index out of range");
                    reader.len = length;
                }
                return message;
            };

            /**
             * Creates a NotifyPartRequest message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.NotifyPartRequest
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.NotifyPartRequest} NotifyPartRequest
             */
            NotifyPartRequest.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.NotifyPartRequest)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.NotifyPartRequest: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.NotifyPartRequest();
                if (object.shardId != null)
                    message.shardId = String(object.shardId);
                if (object.jobId != null)
                    message.jobId = String(object.jobId);
                if (object.hlc != null) {
                    if (!$util.isObject(object.hlc))
                        throw TypeError(".citronnotch.peer.NotifyPartRequest.hlc: object expected");
                    message.hlc = $root.citronnotch.peer.Hlc.fromObject(object.hlc, long + 1);
                }
                return message;
            };

            /**
             * Creates a plain object from a NotifyPartRequest message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.NotifyPartRequest
             * @static
             * @param {citronnotch.peer.NotifyPartRequest} message NotifyPartRequest
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            NotifyPartRequest.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.shardId = "";
                    object.jobId = "";
                    object.hlc = null;
                }
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    object.shardId = message.shardId;
                if (message.jobId != null && Object.hasOwnProperty.call(message, "jobId"))
                    object.jobId = message.jobId;
                if (message.hlc != null && Object.hasOwnProperty.call(message, "hlc"))
                    object.hlc = $root.citronnotch.peer.Hlc.toObject(message.hlc, options, q + 1);
                return object;
            };

            /**
             * Converts this NotifyPartRequest to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.NotifyPartRequest
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            NotifyPartRequest.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for NotifyPartRequest
             * @function getTypeUrl
             * @memberof citronnotch.peer.NotifyPartRequest
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            NotifyPartRequest.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.NotifyPartRequest";
            };

            return NotifyPartRequest;
        })();

        peer.NotifyPartResponse = (function() {

            /**
             * Properties of a NotifyPartResponse.
             * @memberof citronnotch.peer
             * @interface INotifyPartResponse
             * @property {boolean|null} [accepted] NotifyPartResponse accepted
             */

            /**
             * Constructs a new NotifyPartResponse.
             * @memberof citronnotch.peer
             * @classdesc Represents a NotifyPartResponse.
             * @implements INotifyPartResponse
             * @constructor
             * @param {citronnotch.peer.INotifyPartResponse=} [properties] Properties to set
             */
            function NotifyPartResponse(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * NotifyPartResponse accepted.
             * @member {boolean} accepted
             * @memberof citronnotch.peer.NotifyPartResponse
             * @instance
             */
            NotifyPartResponse.prototype.accepted = false;

            /**
             * Creates a new NotifyPartResponse instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.NotifyPartResponse
             * @static
             * @param {citronnotch.peer.INotifyPartResponse=} [properties] Properties to set
             * @returns {citronnotch.peer.NotifyPartResponse} NotifyPartResponse instance
             */
            NotifyPartResponse.create = function create(properties) {
                return new NotifyPartResponse(properties);
            };

            /**
             * Encodes the specified NotifyPartResponse message. Does not implicitly {@link citronnotch.peer.NotifyPartResponse.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.NotifyPartResponse
             * @static
             * @param {citronnotch.peer.INotifyPartResponse} message NotifyPartResponse message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
