/**
 * Processor time and memory used by this process.
 */

import { readFileSync } from 'node:fs'

const BYTES_PER_KIB = 1_024
const MICROSECONDS_PER_SECOND = 1_000_000

export interface ProcessUsage {
  /** Processor time (user and system) since the start of the process, in seconds. */
  cpuSeconds: number
  residentBytes: number
  /** Resident memory that is not backed by files; 0 if /proc/self/status is not available. */
  anonymousBytes: number
  heapBytes: number
}

export function readProcessUsage (): ProcessUsage {
  const { user, system } = process.cpuUsage()
  const { rss, heapUsed } = process.memoryUsage()
  return {
    cpuSeconds: (user + system) / MICROSECONDS_PER_SECOND,
    residentBytes: rss,
    anonymousBytes: readAnonymousBytes(),
    heapBytes: heapUsed
  }
}

function readAnonymousBytes (): number {
  try {
    const found = /^RssAnon:\s+(\d+) kB$/m.exec(readFileSync('/proc/self/status', 'utf8'))
    return Number(found?.[1] ?? 0) * BYTES_PER_KIB
  } catch {
    return 0
  }
}
