/**
 * Small checksummed files that are replaced atomically. Format: a line with the
 * CRC32C and the length in bytes of the rest, a JSON line, then binary content.
 */

import crc32c from 'crc-32/crc32c.js'
import type { Disk } from './disk.js'

const NEWLINE = 10

export interface ChecksummedFile<T> {
  header: T
  body: Uint8Array
}

/** Replaces a file atomically and durably: after a crash it has either the old or the new content. */
export async function replaceFile (disk: Disk, name: string, data: Uint8Array): Promise<void> {
  const temporaryName = `${name}.tmp`
  await disk.write(temporaryName, data)
  await disk.sync(temporaryName)
  await disk.rename(temporaryName, name)
  await disk.syncFolder()
}

export function encodeChecksummedFile<T> (header: T, body: Uint8Array = new Uint8Array()): Uint8Array {
  const content = Buffer.concat([Buffer.from(`${JSON.stringify(header)}\n`), body])
  return Buffer.concat([Buffer.from(`${crc32c.buf(content) >>> 0} ${content.length}\n`), content])
}

/** Returns undefined when the checksum or the length does not match. */
export function decodeChecksummedFile<T> (data: Uint8Array): ChecksummedFile<T> | undefined {
  const buffer = Buffer.from(data.buffer, data.byteOffset, data.byteLength)
  const contentStart = buffer.indexOf(NEWLINE) + 1
  if (contentStart === 0) return undefined
  const [crc, length] = buffer.subarray(0, contentStart - 1).toString().split(' ').map(Number)
  const content = buffer.subarray(contentStart)
  if (content.length !== length || crc32c.buf(content) >>> 0 !== crc) return undefined
  const headerEnd = content.indexOf(NEWLINE)
  return { header: JSON.parse(content.subarray(0, headerEnd).toString()) as T, body: content.subarray(headerEnd + 1) }
}
