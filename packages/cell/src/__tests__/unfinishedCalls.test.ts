import test from 'ava'
import fc from 'fast-check'
import { FRAME_FLAG, FRAME_TYPE, PREFACE_BYTES } from '../frameReader.js'
import { UnfinishedCalls } from '../unfinishedCalls.js'

const CALL_BYTES = 64 * 1024

function frame (type: number, flags: number, streamId: number, payload: Buffer = Buffer.alloc(0)): Buffer {
  const header = Buffer.alloc(9)
  header.writeUIntBE(payload.length, 0, 3)
  header.writeUInt8(type, 3)
  header.writeUInt8(flags, 4)
  header.writeUInt32BE(streamId, 5)
  return Buffer.concat([header, payload])
}

function message (length: number): Buffer {
  const data = Buffer.alloc(5 + length, ' ')
  data.writeUInt8(0, 0)
  data.writeUInt32BE(length, 1)
  return data
}

const begin = (streamId: number) => frame(FRAME_TYPE.headers, 0, streamId, Buffer.alloc(20, 'h'))
const preface = Buffer.alloc(PREFACE_BYTES)

function receiveAll (chunks: readonly Buffer[]): UnfinishedCalls {
  const calls = UnfinishedCalls.create()
  for (const [index, chunk] of chunks.entries()) calls.receive(chunk, index)
  return calls
}

// Guards against memory that is charged to daemons whose calls have all ended, which would close their connections in the end.
test('calls that have ended hold nothing, however what was received is cut', t => {
  const ended = fc.array(fc.record({ length: fc.nat(300), pieces: fc.integer({ min: 1, max: 4 }), isReset: fc.boolean() }), { minLength: 1, maxLength: 6 })
  t.notThrows(() => fc.assert(fc.property(ended, fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1 }), (calls, sizes) => {
    const frames = calls.flatMap(({ length, pieces, isReset }, index) => {
      const streamId = 2 * index + 1
      const data = message(length)
      const cut = Math.ceil(data.length / pieces)
      const parts = Array.from({ length: pieces }, (_, piece) => frame(FRAME_TYPE.data, 0, streamId, data.subarray(piece * cut, (piece + 1) * cut)))
      return [begin(streamId), ...parts, isReset ? frame(FRAME_TYPE.rstStream, 0, streamId, Buffer.alloc(4)) : frame(FRAME_TYPE.data, FRAME_FLAG.endStream, streamId)]
    })
    const bytes = Buffer.concat([preface, ...frames])
    const chunks = []
    for (let from = 0, index = 0; from < bytes.length; index++) {
      const to = from + (sizes[index % sizes.length] ?? 1)
      chunks.push(bytes.subarray(from, to))
      from = to
    }
    const unfinished = receiveAll(chunks)
    return unfinished.heldBytes === 0 && unfinished.oldestStartedAt === undefined && !unfinished.isForeign
  })))
})

test('a call that has not ended holds all that was received with its parts, until either side resets it', t => {
  const first = Buffer.concat([preface, begin(1), frame(FRAME_TYPE.data, 0, 1, message(1_000).subarray(0, 10)), frame(6, 0, 0, Buffer.alloc(5_000))])
  const calls = receiveAll([first, frame(6, 0, 0, Buffer.alloc(700))])
  t.true(calls.heldBytes >= CALL_BYTES + first.length && calls.heldBytes < CALL_BYTES + first.length + 700)
  t.is(calls.oldestStartedAt, 0)
  calls.send(frame(FRAME_TYPE.rstStream, 0, 1, Buffer.alloc(4)))
  t.is(calls.heldBytes, 0)
})

test('compressed messages, second messages and padding are known as sent by no daemon', t => {
  const compressed = message(4)
  compressed.writeUInt8(1, 0)
  t.true(receiveAll([preface, begin(1), frame(FRAME_TYPE.data, 0, 1, compressed)]).isForeign)
  t.true(receiveAll([preface, begin(1), frame(FRAME_TYPE.data, 0, 1, Buffer.concat([message(4), message(4)]))]).isForeign)
  t.true(receiveAll([preface, begin(1), frame(FRAME_TYPE.data, FRAME_FLAG.padded, 1, message(4))]).isForeign)
  t.false(receiveAll([preface, begin(1), frame(FRAME_TYPE.data, 0, 1, message(4))]).isForeign)
})
