/**
 * Small files that are replaced as a whole: a line with a CRC32C and a length,
 * a JSON line, then bytes.
 */

import crc32c from 'crc-32/crc32c.js'
import type { Disk } from './disk.js'

const NEWLINE = 10

export interface Checked<T> {
  head: T
  body: Uint8Array
}

/** Replaces a file such that after a crash either the old or the new content is there. */
export async function replaceFile (disk: Disk, name: string, data: Uint8Array): Promise<void> {
  const temporary = `${name}.tmp`
  await disk.write(temporary, data)
  await disk.sync(temporary)
  await disk.rename(temporary, name)
  await disk.syncFolder()
}

export function encodeChecked<T> (head: T, body: Uint8Array = new Uint8Array()): Uint8Array {
  const content = Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), body])
  return Buffer.concat([Buffer.from(`${crc32c.buf(content) >>> 0} ${content.length}\n`), content])
}

/** Undefined when the content is not what was written. */
export function decodeChecked<T> (data: Uint8Array): Checked<T> | undefined {
  const buffer = Buffer.from(data.buffer, data.byteOffset, data.byteLength)
  const start = buffer.indexOf(NEWLINE) + 1
  if (start === 0) return undefined
  const [crc, length] = buffer.subarray(0, start - 1).toString().split(' ').map(Number)
  const content = buffer.subarray(start)
  if (content.length !== length || crc32c.buf(content) >>> 0 !== crc) return undefined
  const headEnd = content.indexOf(NEWLINE)
  return { head: JSON.parse(content.subarray(0, headEnd).toString()) as T, body: content.subarray(headEnd + 1) }
}
