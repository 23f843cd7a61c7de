/**
 * Records of a log segment: a header of 32 bytes and the entry's content, with
 * a CRC32C over both. Each record holds the offset at which its batch starts. A
 * batch is written only after the previous one was synced, so an invalid record
 * is a torn tail if only records of its own batch follow it, and damage otherwise.
 *
 * Header, little-endian: magic (2 bytes), kind (1), unused (1), length of the
 * content (4), CRC32C (4), offset of the batch (4), term (8), index (8).
 */

import crc32c from 'crc-32/crc32c.js'
import type { LogEntry, EntryKind } from '../../types/raft.js'

const MAGIC = 0xf1a6
const HEADER_BYTES = 32
const CRC_OFFSET = 8

interface Header {
  kind: number
  length: number
  crc: number
  batchOffset: number
  term: number
  index: number
}

export interface RecordScan {
  entries: LogEntry[]
  /** Bytes up to the end of the last valid record. */
  goodBytes: number
  /** What follows the valid records. */
  tail: 'nothing' | 'tornTail' | 'damage'
}

/** Encodes one batch of entries; `batchOffset` is the offset in the segment at which it will be written. */
export function encodeRecords (entries: readonly LogEntry[], batchOffset: number): Uint8Array {
  let bytes = 0
  for (const entry of entries) bytes += HEADER_BYTES + entry.data.length
  const buffer = Buffer.allocUnsafe(bytes)
  let offset = 0
  for (const entry of entries) offset = encodeRecord(buffer, offset, entry, batchOffset)
  return buffer
}

/** Reads the records of a segment up to the first invalid one, and classifies what follows. */
export function scanRecords (data: Uint8Array): RecordScan {
  const buffer = Buffer.from(data.buffer, data.byteOffset, data.byteLength)
  const entries: LogEntry[] = []
  let offset = 0
  while (offset < buffer.length) {
    const header = readRecord(buffer, offset)
    if (header === undefined) break
    const content = offset + HEADER_BYTES
    entries.push({
      index: header.index,
      term: header.term,
      kind: header.kind as EntryKind,
      data: buffer.subarray(content, content + header.length)
    })
    offset = content + header.length
  }
  if (offset === buffer.length) return { entries, goodBytes: offset, tail: 'nothing' }
  const tail = isFollowedByLaterBatch(buffer, offset) ? 'damage' : 'tornTail'
  return { entries, goodBytes: offset, tail }
}

function encodeRecord (buffer: Buffer, offset: number, entry: LogEntry, batchOffset: number): number {
  const end = offset + HEADER_BYTES + entry.data.length
  buffer.writeUInt16LE(MAGIC, offset)
  buffer.writeUInt8(entry.kind, offset + 2)
  buffer.writeUInt8(0, offset + 3)
  buffer.writeUInt32LE(entry.data.length, offset + 4)
  buffer.writeUInt32LE(batchOffset, offset + 12)
  buffer.writeDoubleLE(entry.term, offset + 16)
  buffer.writeDoubleLE(entry.index, offset + 24)
  buffer.set(entry.data, offset + HEADER_BYTES)
  buffer.writeInt32LE(checksum(buffer.subarray(offset, end)), offset + CRC_OFFSET)
  return end
}

/** Header of the record at an offset; undefined unless the record is complete and its checksum matches. */
function readRecord (buffer: Buffer, offset: number): Header | undefined {
  if (offset + HEADER_BYTES > buffer.length || buffer.readUInt16LE(offset) !== MAGIC) return undefined
  const length = buffer.readUInt32LE(offset + 4)
  const end = offset + HEADER_BYTES + length
  if (end > buffer.length) return undefined
  const crc = buffer.readInt32LE(offset + CRC_OFFSET)
  if (checksum(buffer.subarray(offset, end)) !== crc) return undefined
  return {
    kind: buffer.readUInt8(offset + 2),
    length,
    crc,
    batchOffset: buffer.readUInt32LE(offset + 12),
    term: buffer.readDoubleLE(offset + 16),
    index: buffer.readDoubleLE(offset + 24)
  }
}

/** CRC32C of the header without its checksum field, and of the content. */
function checksum (record: Uint8Array): number {
  const start = crc32c.buf(record.subarray(0, CRC_OFFSET))
  return crc32c.buf(record.subarray(CRC_OFFSET + 4), start)
}

/** True when a valid record follows that belongs to a batch started after the invalid record. */
function isFollowedByLaterBatch (buffer: Buffer, badOffset: number): boolean {
  for (let offset = badOffset + 1; offset + HEADER_BYTES <= buffer.length; offset++) {
    if (buffer.readUInt16LE(offset) !== MAGIC) continue
    if (buffer.readUInt32LE(offset + 12) <= badOffset) continue
    if (readRecord(buffer, offset) !== undefined) return true
  }
  return false
}
