/**
 * Framing on a byte stream: a four-byte big-endian length, followed by one CBOR
 * item of that many bytes.
 */

import { Encoder } from 'cbor-x'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { Frame } from '../types/frames.js'

/** Largest body of one frame, in bytes. */
export const FRAME_LIMIT_BYTES = 16 * 1024 * 1024

const HEADER_BYTES = 4

const FRAME_KINDS: ReadonlySet<string> = new Set(['hello', 'call', 'answer', 'replication', 'notice', 'ping'])

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, copyBuffers: true })

/** Encodes any plain value as CBOR, for frames, log entries and snapshots. */
export function encodeValue (value: unknown): Uint8Array {
  return codec.encode(value)
}

/** Decodes a value encoded by encodeValue. Throws on malformed input. */
export function decodeValue (bytes: Uint8Array): unknown {
  return codec.decode(bytes as Buffer)
}

/** Encodes a frame with its header. Throws payloadTooLarge when the body exceeds FRAME_LIMIT_BYTES. */
export function encodeFrame (frame: Frame): Buffer {
  const body = codec.encode(frame)
  if (body.length > FRAME_LIMIT_BYTES) {
    fail(ErrorKind.payloadTooLarge, `frame of ${body.length} bytes exceeds the limit of ${FRAME_LIMIT_BYTES} bytes`)
  }
  const framed = Buffer.allocUnsafe(HEADER_BYTES + body.length)
  framed.writeUInt32BE(body.length, 0)
  framed.set(body, HEADER_BYTES)
  return framed
}

/** Splits a byte stream into frames. */
export class FrameReader {
  private chunks: Buffer[] = []
  private bufferedBytes = 0
  /** Size of the current frame with its header, in bytes; 0 while the header is incomplete. */
  private expectedBytes = 0

  private constructor (private limitBytes: number) {}

  static create (limitBytes = FRAME_LIMIT_BYTES): FrameReader {
    return new FrameReader(limitBytes)
  }

  /** Sets the largest body that is accepted from now on, in bytes. */
  setLimit (limitBytes: number): void {
    this.limitBytes = limitBytes
  }

  /**
   * Appends a chunk and passes each frame that it completes to `deliver`.
   * Throws invalidArgument on a malformed frame.
   */
  push (chunk: Buffer, deliver: (frame: Frame) => void): void {
    this.chunks.push(chunk)
    this.bufferedBytes += chunk.length
    while (this.isFrameComplete()) deliver(this.takeFrame())
  }

  private isFrameComplete (): boolean {
    if (this.expectedBytes === 0) {
      if (this.bufferedBytes < HEADER_BYTES) return false
      const length = this.joinChunks().readUInt32BE(0)
      if (length === 0 || length > this.limitBytes) {
        fail(ErrorKind.invalidArgument, `frame length ${length} is outside 1..${this.limitBytes}`)
      }
      this.expectedBytes = HEADER_BYTES + length
    }
    return this.bufferedBytes >= this.expectedBytes
  }

  private takeFrame (): Frame {
    const bytes = this.joinChunks()
    const body = bytes.subarray(HEADER_BYTES, this.expectedBytes)
    this.chunks = [bytes.subarray(this.expectedBytes)]
    this.bufferedBytes -= this.expectedBytes
    this.expectedBytes = 0
    return decodeFrame(body)
  }

  private joinChunks (): Buffer {
    if (this.chunks.length > 1) this.chunks = [Buffer.concat(this.chunks)]
    return this.chunks[0]
  }
}

function decodeFrame (body: Uint8Array): Frame {
  let value: unknown
  try {
    value = decodeValue(body)
  } catch {
    fail(ErrorKind.invalidArgument, 'frame is not valid CBOR')
  }
  const kind = (value as { kind?: unknown } | null)?.kind
  if (typeof kind !== 'string' || !FRAME_KINDS.has(kind)) {
    fail(ErrorKind.invalidArgument, 'frame has no known kind')
  }
  return value as Frame
}
