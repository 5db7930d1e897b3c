             * @returns {$protobuf.Writer} Writer
             */
            NotifyPartResponse.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.accepted != null && Object.hasOwnProperty.call(message, "accepted"))
                    writer.uint32(/* id 1, wireType 0 =*/8).bool(message.accepted);
                return writer;
            };

            /**
             * Decodes a NotifyPartResponse message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.NotifyPartResponse
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.NotifyPartResponse} NotifyPartResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            NotifyPartResponse.decode = function decode(reader, length, error, long) {
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
                message = new $root.citronnotch.peer.NotifyPartResponse();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.accepted = reader.bool();
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
             * Creates a NotifyPartResponse message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.NotifyPartResponse
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.NotifyPartResponse} NotifyPartResponse
             */
            NotifyPartResponse.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.NotifyPartResponse)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.NotifyPartResponse: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.NotifyPartResponse();
                if (object.accepted != null)
                    message.accepted = Boolean(object.accepted);
                return message;
            };

            /**
             * Creates a plain object from a NotifyPartResponse message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.NotifyPartResponse
             * @static
             * @param {citronnotch.peer.NotifyPartResponse} message NotifyPartResponse
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            NotifyPartResponse.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults)
                    object.accepted = false;
                if (message.accepted != null && Object.hasOwnProperty.call(message, "accepted"))
                    object.accepted = message.accepted;
                return object;
            };

            /**
             * Converts this NotifyPartResponse to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.NotifyPartResponse
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            NotifyPartResponse.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for NotifyPartResponse
             * @function getTypeUrl
             * @memberof citronnotch.peer.NotifyPartResponse
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            NotifyPartResponse.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.NotifyPartResponse";
            };

            return NotifyPartResponse;
        })();

        peer.PartStatusRequest = (function() {

            /**
             * Properties of a PartStatusRequest.
             * @memberof citronnotch.peer
             * @interface IPartStatusRequest
             * @property {string|null} [shardId] PartStatusRequest shardId
             * @property {string|null} [jobId] PartStatusRequest jobId
             */

            /**
             * Constructs a new PartStatusRequest.
             * @memberof citronnotch.peer
             * @classdesc Represents a PartStatusRequest.
             * @implements IPartStatusRequest
             * @constructor
             * @param {citronnotch.peer.IPartStatusRequest=} [properties] Properties to set
             */
            function PartStatusRequest(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * PartStatusRequest shardId.
             * @member {string} shardId
             * @memberof citronnotch.peer.PartStatusRequest
             * @instance
             */
            PartStatusRequest.prototype.shardId = "";

            /**
             * PartStatusRequest jobId.
             * @member {string} jobId
             * @memberof citronnotch.peer.PartStatusRequest
             * @instance
             */
            PartStatusRequest.prototype.jobId = "";

            /**
             * Creates a new PartStatusRequest instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.PartStatusRequest
             * @static
             * @param {citronnotch.peer.IPartStatusRequest=} [properties] Properties to set
             * @returns {citronnotch.peer.PartStatusRequest} PartStatusRequest instance
             */
            PartStatusRequest.create = function create(properties) {
                return new PartStatusRequest(properties);
            };

            /**
             * Encodes the specified PartStatusRequest message. Does not implicitly {@link citronnotch.peer.PartStatusRequest.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.PartStatusRequest
             * @static
             * @param {citronnotch.peer.IPartStatusRequest} message PartStatusRequest message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            PartStatusRequest.encode = function encode(message, writer, q) {
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
                return writer;
            };

            /**
             * Decodes a PartStatusRequest message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.PartStatusRequest
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.PartStatusRequest} PartStatusRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            PartStatusRequest.decode = function decode(reader, length, error, long) {
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
                message = new $root.citronnotch.peer.PartStatusRequest();
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
             * Creates a PartStatusRequest message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.PartStatusRequest
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.PartStatusRequest} PartStatusRequest
             */
            PartStatusRequest.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.PartStatusRequest)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.PartStatusRequest: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.PartStatusRequest();
                if (object.shardId != null)
                    message.shardId = String(object.shardId);
                if (object.jobId != null)
                    message.jobId = String(object.jobId);
                return message;
            };

            /**
             * Creates a plain object from a PartStatusRequest message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.PartStatusRequest
             * @static
             * @param {citronnotch.peer.PartStatusRequest} message PartStatusRequest
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            PartStatusRequest.toObject = function toObject(message, options, q) {
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
                }
                if (message.shardId != null && Object.hasOwnProperty.call(message, "shardId"))
                    object.shardId = message.shardId;
                if (message.jobId != null && Object.hasOwnProperty.call(message, "jobId"))
                    object.jobId = message.jobId;
                return object;
            };

            /**
             * Converts this PartStatusRequest to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.PartStatusRequest
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            PartStatusRequest.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for PartStatusRequest
             * @function getTypeUrl
             * @memberof citronnotch.peer.PartStatusRequest
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            PartStatusRequest.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.PartStatusRequest";
            };

            return PartStatusRequest;
        })();

        peer.TaskStatus = (function() {

            /**
             * Properties of a TaskStatus.
             * @memberof citronnotch.peer
             * @interface ITaskStatus
             * @property {string|null} [taskId] TaskStatus taskId
             * @property {string|null} [state] TaskStatus state
             * @property {string|null} [workerId] TaskStatus workerId
             * @property {number|null} [attempt] TaskStatus attempt
             * @property {string|null} [reason] TaskStatus reason
             */

            /**
             * Constructs a new TaskStatus.
             * @memberof citronnotch.peer
             * @classdesc Represents a TaskStatus.
             * @implements ITaskStatus
             * @constructor
             * @param {citronnotch.peer.ITaskStatus=} [properties] Properties to set
             */
            function TaskStatus(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * TaskStatus taskId.
             * @member {string} taskId
             * @memberof citronnotch.peer.TaskStatus
             * @instance
             */
            TaskStatus.prototype.taskId = "";

            /**
             * TaskStatus state.
             * @member {string} state
             * @memberof citronnotch.peer.TaskStatus
             * @instance
             */
            TaskStatus.prototype.state = "";

            /**
             * TaskStatus workerId.
             * @member {string} workerId
             * @memberof citronnotch.peer.TaskStatus
             * @instance
             */
            TaskStatus.prototype.workerId = "";

            /**
             * TaskStatus attempt.
             * @member {number} attempt
             * @memberof citronnotch.peer.TaskStatus
             * @instance
             */
            TaskStatus.prototype.attempt = 0;

            /**
             * TaskStatus reason.
             * @member {string} reason
             * @memberof citronnotch.peer.TaskStatus
             * @instance
             */
            TaskStatus.prototype.reason = "";

            /**
             * Creates a new TaskStatus instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.TaskStatus
             * @static
             * @param {citronnotch.peer.ITaskStatus=} [properties] Properties to set
             * @returns {citronnotch.peer.TaskStatus} TaskStatus instance
             */
            TaskStatus.create = function create(properties) {
                return new TaskStatus(properties);
            };

            /**
             * Encodes the specified TaskStatus message. Does not implicitly {@link citronnotch.peer.TaskStatus.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.TaskStatus
             * @static
             * @param {citronnotch.peer.ITaskStatus} message TaskStatus message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            TaskStatus.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.taskId != null && Object.hasOwnProperty.call(message, "taskId"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.taskId);
                if (message.state != null && Object.hasOwnProperty.call(message, "state"))
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.state);
                if (message.workerId != null && Object.hasOwnProperty.call(message, "workerId"))
                    writer.uint32(/* id 3, wireType 2 =*/26).string(message.workerId);
                if (message.attempt != null && Object.hasOwnProperty.call(message, "attempt"))
                    writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.attempt);
                if (message.reason != null && Object.hasOwnProperty.call(message, "reason"))
                    writer.uint32(/* id 5, wireType 2 =*/42).string(message.reason);
                return writer;
            };

            /**
             * Decodes a TaskStatus message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.TaskStatus
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.TaskStatus} TaskStatus
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            TaskStatus.decode = function decode(reader, length, error, long) {
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
                message = new $root.citronnotch.peer.TaskStatus();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.taskId = reader.string();
                            break;
                        }
                    case 2: {
                            message.state = reader.string();
                            break;
                        }
                    case 3: {
                            message.workerId = reader.string();
                            break;
                        }
                    case 4: {
                            message.attempt = reader.uint32();
                            break;
                        }
                    case 5: {
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
             * Creates a TaskStatus message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.TaskStatus
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.TaskStatus} TaskStatus
             */
            TaskStatus.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.TaskStatus)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.TaskStatus: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.TaskStatus();
                if (object.taskId != null)
                    message.taskId = String(object.taskId);
                if (object.state != null)
                    message.state = String(object.state);
                if (object.workerId != null)
                    message.workerId = String(object.workerId);
                if (object.attempt != null)
                    message.attempt = object.attempt >>> 0;
                if (object.reason != null)
                    message.reason = String(object.reason);
                return message;
            };

            /**
             * Creates a plain object from a TaskStatus message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.TaskStatus
             * @static
             * @param {citronnotch.peer.TaskStatus} message TaskStatus
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            TaskStatus.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.taskId = "";
                    object.state = "";
                    object.workerId = "";
                    object.attempt = 0;
                    object.reason = "";
                }
                if (message.taskId != null && Object.hasOwnProperty.call(message, "taskId"))
                    object.taskId = message.taskId;
                if (message.state != null && Object.hasOwnProperty.call(message, "state"))
                    object.state = message.state;
                if (message.workerId != null && Object.hasOwnProperty.call(message, "workerId"))
                    object.workerId = message.workerId;
                if (message.attempt != null && Object.hasOwnProperty.call(message, "attempt"))
                    object.attempt = message.attempt;
                if (message.reason != null && Object.hasOwnProperty.call(message, "reason"))
                    object.reason = message.reason;
                return object;
            };

            /**
             * Converts this TaskStatus to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.TaskStatus
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            TaskStatus.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for TaskStatus
             * @function getTypeUrl
             * @memberof citronnotch.peer.TaskStatus
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            TaskStatus.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.TaskStatus";
            };

            return TaskStatus;
        })();

        peer.PartStatusResponse = (function() {

            /**
             * Properties of a PartStatusResponse.
             * @memberof citronnotch.peer
             * @interface IPartStatusResponse
             * @property {boolean|null} [owned] PartStatusResponse owned
             * @property {Array.<citronnotch.peer.ITaskStatus>|null} [tasks] PartStatusResponse tasks
             */

            /**
             * Constructs a new PartStatusResponse.
             * @memberof citronnotch.peer
             * @classdesc Represents a PartStatusResponse.
             * @implements IPartStatusResponse
             * @constructor
             * @param {citronnotch.peer.IPartStatusResponse=} [properties] Properties to set
             */
            function PartStatusResponse(properties) {
                this.tasks = [];
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * PartStatusResponse owned.
             * @member {boolean} owned
             * @memberof citronnotch.peer.PartStatusResponse
             * @instance
             */
            PartStatusResponse.prototype.owned = false;

            /**
             * PartStatusResponse tasks.
             * @member {Array.<citronnotch.peer.ITaskStatus>} tasks
             * @memberof citronnotch.peer.PartStatusResponse
             * @instance
             */
            PartStatusResponse.prototype.tasks = $util.emptyArray;

            /**
             * Creates a new PartStatusResponse instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.PartStatusResponse
             * @static
             * @param {citronnotch.peer.IPartStatusResponse=} [properties] Properties to set
             * @returns {citronnotch.peer.PartStatusResponse} PartStatusResponse instance
             */
            PartStatusResponse.create = function create(properties) {
                return new PartStatusResponse(properties);
            };

            /**
             * Encodes the specified PartStatusResponse message. Does not implicitly {@link citronnotch.peer.PartStatusResponse.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.PartStatusResponse
             * @static
             * @param {citronnotch.peer.IPartStatusResponse} message PartStatusResponse message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            PartStatusResponse.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.owned != null && Object.hasOwnProperty.call(message, "owned"))
                    writer.uint32(/* id 1, wireType 0 =*/8).bool(message.owned);
                if (message.tasks != null && message.tasks.length)
                    for (let i = 0; i < message.tasks.length; ++i)
                        $root.citronnotch.peer.TaskStatus.encode(message.tasks[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
                return writer;
            };

            /**
             * Decodes a PartStatusResponse message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.PartStatusResponse
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.PartStatusResponse} PartStatusResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            PartStatusResponse.decode = function decode(reader, length, error, long) {
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
                message = new $root.citronnotch.peer.PartStatusResponse();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.owned = reader.bool();
                            break;
                        }
                    case 2: {
                            if (!(message.tasks && message.tasks.length))
                                message.tasks = [];
                            message.tasks.push($root.citronnotch.peer.TaskStatus.decode(reader, reader.uint32(), undefined, long + 1));
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
             * Creates a PartStatusResponse message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.PartStatusResponse
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.PartStatusResponse} PartStatusResponse
             */
            PartStatusResponse.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.PartStatusResponse)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.PartStatusResponse: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.PartStatusResponse();
                if (object.owned != null)
                    message.owned = Boolean(object.owned);
                if (object.tasks) {
                    if (!Array.isArray(object.tasks))
                        throw TypeError(".citronnotch.peer.PartStatusResponse.tasks: array expected");
                    message.tasks = [];
                    for (let i = 0; i < object.tasks.length; ++i) {
                        if (!$util.isObject(object.tasks[i]))
                            throw TypeError(".citronnotch.peer.PartStatusResponse.tasks: object expected");
                        message.tasks[i] = $root.citronnotch.peer.TaskStatus.fromObject(object.tasks[i], long + 1);
                    }
                }
                return message;
            };

            /**
             * Creates a plain object from a PartStatusResponse message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.PartStatusResponse
             * @static
             * @param {citronnotch.peer.PartStatusResponse} message PartStatusResponse
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            PartStatusResponse.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.arrays || options.defaults)
                    object.tasks = [];
                if (options.defaults)
                    object.owned = false;
                if (message.owned != null && Object.hasOwnProperty.call(message, "owned"))
                    object.owned = message.owned;
                if (message.tasks && message.tasks.length) {
                    object.tasks = [];
                    for (let j = 0; j < message.tasks.length; ++j)
                        object.tasks[j] = $root.citronnotch.peer.TaskStatus.toObject(message.tasks[j], options, q + 1);
                }
                return object;
            };

            /**
             * Converts this PartStatusResponse to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.PartStatusResponse
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            PartStatusResponse.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for PartStatusResponse
             * @function getTypeUrl
             * @memberof citronnotch.peer.PartStatusResponse
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            PartStatusResponse.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.PartStatusResponse";
            };

            return PartStatusResponse;
        })();

        peer.SupersededRequest = (function() {

            /**
             * Properties of a SupersededRequest.
             * @memberof citronnotch.peer
             * @interface ISupersededRequest
             * @property {string|null} [shardId] SupersededRequest shardId
             * @property {number|null} [epoch] SupersededRequest epoch
             * @property {string|null} [owner] SupersededRequest owner
             */

            /**
             * Constructs a new SupersededRequest.
             * @memberof citronnotch.peer
             * @classdesc Represents a SupersededRequest.
             * @implements ISupersededRequest
             * @constructor
             * @param {citronnotch.peer.ISupersededRequest=} [properties] Properties to set
             */
            function SupersededRequest(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * SupersededRequest shardId.
             * @member {string} shardId
             * @memberof citronnotch.peer.SupersededRequest
             * @instance
             */
            SupersededRequest.prototype.shardId = "";

            /**
             * SupersededRequest epoch.
             * @member {number} epoch
             * @memberof citronnotch.peer.SupersededRequest
             * @instance
             */
            SupersededRequest.prototype.epoch = 0;

            /**
             * SupersededRequest owner.
             * @member {string} owner
             * @memberof citronnotch.peer.SupersededRequest
             * @instance
             */
            SupersededRequest.prototype.owner = "";

            /**
             * Creates a new SupersededRequest instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.SupersededRequest
             * @static
             * @param {citronnotch.peer.ISupersededRequest=} [properties] Properties to set
             * @returns {citronnotch.peer.SupersededRequest} SupersededRequest instance
             */
            SupersededRequest.create = function create(properties) {
                return new SupersededRequest(properties);
            };

            /**
             * Encodes the specified SupersededRequest message. Does not implicitly {@link citronnotch.peer.SupersededRequest.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.SupersededRequest
             * @static
             * @param {citronnotch.peer.ISupersededRequest} message SupersededRequest message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            SupersededRequest.encode = function encode(message, writer, q) {
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
             * Decodes a SupersededRequest message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.SupersededRequest
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.SupersededRequest} SupersededRequest
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            SupersededRequest.decode = function decode(reader, length, error, long) {
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
                message = new $root.citronnotch.peer.SupersededRequest();
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
             * Creates a SupersededRequest message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.SupersededRequest
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.SupersededRequest} SupersededRequest
             */
            SupersededRequest.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.SupersededRequest)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.SupersededRequest: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.SupersededRequest();
                if (object.shardId != null)
                    message.shardId = String(object.shardId);
                if (object.epoch != null)
                    message.epoch = Number(object.epoch);
                if (object.owner != null)
                    message.owner = String(object.owner);
                return message;
            };

            /**
             * Creates a plain object from a SupersededRequest message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.SupersededRequest
             * @static
             * @param {citronnotch.peer.SupersededRequest} message SupersededRequest
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            SupersededRequest.toObject = function toObject(message, options, q) {
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
             * Converts this SupersededRequest to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.SupersededRequest
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            SupersededRequest.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for SupersededRequest
             * @function getTypeUrl
             * @memberof citronnotch.peer.SupersededRequest
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            SupersededRequest.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.SupersededRequest";
            };

            return SupersededRequest;
        })();

        peer.SupersededResponse = (function() {

            /**
             * Properties of a SupersededResponse.
             * @memberof citronnotch.peer
             * @interface ISupersededResponse
             * @property {boolean|null} [givenUp] SupersededResponse givenUp
             * @property {Array.<citronnotch.peer.IInFlight>|null} [inFlight] SupersededResponse inFlight
             */

            /**
             * Constructs a new SupersededResponse.
             * @memberof citronnotch.peer
             * @classdesc Represents a SupersededResponse.
             * @implements ISupersededResponse
             * @constructor
             * @param {citronnotch.peer.ISupersededResponse=} [properties] Properties to set
             */
            function SupersededResponse(properties) {
                this.inFlight = [];
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * SupersededResponse givenUp.
             * @member {boolean} givenUp
             * @memberof citronnotch.peer.SupersededResponse
             * @instance
             */
            SupersededResponse.prototype.givenUp = false;

            /**
             * SupersededResponse inFlight.
             * @member {Array.<citronnotch.peer.IInFlight>} inFlight
             * @memberof citronnotch.peer.SupersededResponse
             * @instance
             */
            SupersededResponse.prototype.inFlight = $util.emptyArray;

            /**
             * Creates a new SupersededResponse instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.SupersededResponse
             * @static
             * @param {citronnotch.peer.ISupersededResponse=} [properties] Properties to set
             * @returns {citronnotch.peer.SupersededResponse} SupersededResponse instance
             */
            SupersededResponse.create = function create(properties) {
                return new SupersededResponse(properties);
            };

            /**
             * Encodes the specified SupersededResponse message. Does not implicitly {@link citronnotch.peer.SupersededResponse.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.SupersededResponse
             * @static
             * @param {citronnotch.peer.ISupersededResponse} message SupersededResponse message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            SupersededResponse.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.givenUp != null && Object.hasOwnProperty.call(message, "givenUp"))
                    writer.uint32(/* id 1, wireType 0 =*/8).bool(message.givenUp);
                if (message.inFlight != null && message.inFlight.length)
                    for (let i = 0; i < message.inFlight.length; ++i)
                        $root.citronnotch.peer.InFlight.encode(message.inFlight[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
                return writer;
            };

            /**
             * Decodes a SupersededResponse message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.SupersededResponse
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.SupersededResponse} SupersededResponse
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            SupersededResponse.decode = function decode(reader, length, error, long) {
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
                message = new $root.citronnotch.peer.SupersededResponse();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.givenUp = reader.bool();
                            break;
                        }
                    case 2: {
                            if (!(message.inFlight && message.inFlight.length))
                                message.inFlight = [];
                            message.inFlight.push($root.citronnotch.peer.InFlight.decode(reader, reader.uint32(), undefined, long + 1));
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
             * Creates a SupersededResponse message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.SupersededResponse
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.SupersededResponse} SupersededResponse
             */
            SupersededResponse.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.SupersededResponse)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.SupersededResponse: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.SupersededResponse();
                if (object.givenUp != null)
                    message.givenUp = Boolean(object.givenUp);
                if (object.inFlight) {
                    if (!Array.isArray(object.inFlight))
                        throw TypeError(".citronnotch.peer.SupersededResponse.inFlight: array expected");
                    message.inFlight = [];
                    for (let i = 0; i < object.inFlight.length; ++i) {
                        if (!$util.isObject(object.inFlight[i]))
                            throw TypeError(".citronnotch.peer.SupersededResponse.inFlight: object expected");
                        message.inFlight[i] = $root.citronnotch.peer.InFlight.fromObject(object.inFlight[i], long + 1);
                    }
                }
                return message;
            };

            /**
             * Creates a plain object from a SupersededResponse message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.SupersededResponse
             * @static
             * @param {citronnotch.peer.SupersededResponse} message SupersededResponse
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            SupersededResponse.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.arrays || options.defaults)
                    object.inFlight = [];
                if (options.defaults)
                    object.givenUp = false;
                if (message.givenUp != null && Object.hasOwnProperty.call(message, "givenUp"))
                    object.givenUp = message.givenUp;
                if (message.inFlight && message.inFlight.length) {
                    object.inFlight = [];
                    for (let j = 0; j < message.inFlight.length; ++j)
                        object.inFlight[j] = $root.citronnotch.peer.InFlight.toObject(message.inFlight[j], options, q + 1);
                }
                return object;
            };

            /**
             * Converts this SupersededResponse to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.SupersededResponse
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            SupersededResponse.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for SupersededResponse
             * @function getTypeUrl
             * @memberof citronnotch.peer.SupersededResponse
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            SupersededResponse.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.SupersededResponse";
            };

            return SupersededResponse;
        })();

        peer.InFlight = (function() {

            /**
             * Properties of an InFlight.
             * @memberof citronnotch.peer
             * @interface IInFlight
             * @property {string|null} [address] InFlight address
             * @property {number|null} [requests] InFlight requests
             */

            /**
             * Constructs a new InFlight.
             * @memberof citronnotch.peer
             * @classdesc Represents an InFlight.
             * @implements IInFlight
             * @constructor
             * @param {citronnotch.peer.IInFlight=} [properties] Properties to set
             */
            function InFlight(properties) {
                if (properties)
                    for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                        if (properties[keys[i]] != null && keys[i] !== "__proto__")
                            this[keys[i]] = properties[keys[i]];
            }

            /**
             * InFlight address.
             * @member {string} address
             * @memberof citronnotch.peer.InFlight
             * @instance
             */
            InFlight.prototype.address = "";

            /**
             * InFlight requests.
             * @member {number} requests
             * @memberof citronnotch.peer.InFlight
             * @instance
             */
            InFlight.prototype.requests = 0;

            /**
             * Creates a new InFlight instance using the specified properties.
             * @function create
             * @memberof citronnotch.peer.InFlight
             * @static
             * @param {citronnotch.peer.IInFlight=} [properties] Properties to set
             * @returns {citronnotch.peer.InFlight} InFlight instance
             */
            InFlight.create = function create(properties) {
                return new InFlight(properties);
            };

            /**
             * Encodes the specified InFlight message. Does not implicitly {@link citronnotch.peer.InFlight.verify|verify} messages.
             * @function encode
             * @memberof citronnotch.peer.InFlight
             * @static
             * @param {citronnotch.peer.IInFlight} message InFlight message or plain object to encode
             * @param {$protobuf.Writer} [writer] Writer to encode to
             * @returns {$protobuf.Writer} Writer
             */
            InFlight.encode = function encode(message, writer, q) {
                if (!writer)
                    writer = $Writer.create();
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                if (message.address != null && Object.hasOwnProperty.call(message, "address"))
                    writer.uint32(/* id 1, wireType 2 =*/10).string(message.address);
                if (message.requests != null && Object.hasOwnProperty.call(message, "requests"))
                    writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.requests);
                return writer;
            };

            /**
             * Decodes an InFlight message from the specified reader or buffer.
             * @function decode
             * @memberof citronnotch.peer.InFlight
             * @static
             * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
             * @param {number} [length] Message length if known beforehand
             * @returns {citronnotch.peer.InFlight} InFlight
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            InFlight.decode = function decode(reader, length, error, long) {
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
                message = new $root.citronnotch.peer.InFlight();
                while (reader.pos < end) {
                    let tag = reader.uint32();
                    if (tag === error)
                        break;
                    switch (tag >>> 3) {
                    case 1: {
                            message.address = reader.string();
                            break;
                        }
                    case 2: {
                            message.requests = reader.uint32();
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
             * Creates an InFlight message from a plain object. Also converts values to their respective internal types.
             * @function fromObject
             * @memberof citronnotch.peer.InFlight
             * @static
             * @param {Object.<string,*>} object Plain object
             * @returns {citronnotch.peer.InFlight} InFlight
             */
            InFlight.fromObject = function fromObject(object, long) {
                if (object instanceof $root.citronnotch.peer.InFlight)
                    return object;
                if (!$util.isObject(object))
                    throw TypeError(".citronnotch.peer.InFlight: object expected");
                if (long === undefined)
                    long = 0;
                if (long > $util.recursionLimit)
                    throw Error("maximum nesting depth exceeded");
                let message = new $root.citronnotch.peer.InFlight();
                if (object.address != null)
                    message.address = String(object.address);
                if (object.requests != null)
                    message.requests = object.requests >>> 0;
                return message;
            };

            /**
             * Creates a plain object from an InFlight message. Also converts values to other types if specified.
             * @function toObject
             * @memberof citronnotch.peer.InFlight
             * @static
             * @param {citronnotch.peer.InFlight} message InFlight
             * @param {$protobuf.IConversionOptions} [options] Conversion options
             * @returns {Object.<string,*>} Plain object
             */
            InFlight.toObject = function toObject(message, options, q) {
                if (!options)
                    options = {};
                if (q === undefined)
                    q = 0;
                if (q > $util.recursionLimit)
                    throw Error("max depth exceeded");
                let object = {};
                if (options.defaults) {
                    object.address = "";
                    object.requests = 0;
                }
                if (message.address != null && Object.hasOwnProperty.call(message, "address"))
                    object.address = message.address;
                if (message.requests != null && Object.hasOwnProperty.call(message, "requests"))
                    object.requests = message.requests;
                return object;
            };

            /**
             * Converts this InFlight to JSON.
             * @function toJSON
             * @memberof citronnotch.peer.InFlight
             * @instance
             * @returns {Object.<string,*>} JSON object
             */
            InFlight.prototype.toJSON = function toJSON() {
                return this.constructor.toObject(this, $protobuf.util.toJSONOptions);
            };

            /**
             * Gets the default type url for InFlight
             * @function getTypeUrl
             * @memberof citronnotch.peer.InFlight
             * @static
             * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
             * @returns {string} The default type url
             */
            InFlight.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
                if (typeUrlPrefix === undefined) {
                    typeUrlPrefix = "type.googleapis.com";
                }
                return typeUrlPrefix + "/citronnotch.peer.InFlight";
            };

            return InFlight;
        })();

        return peer;
    })();

    return citronnotch;
})();

export { $root as default };
