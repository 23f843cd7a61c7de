/**
 * Reads the content of a data folder and detects damage, without changing it.
 */

import type { LogEntry, HardState, Snapshot } from '../../types/raft.js'
import { decodeChecksummedFile } from './checksummed-file.js'
import type { Disk } from './disk.js'
import { scanRecords } from './log-record.js'

export const HARD_STATE_FILE = 'hard-state'
const SEGMENT_PREFIX = 'log-'
const SNAPSHOT_PREFIX = 'snapshot-'
const NAME_DIGITS = 12

export interface Segment {
  name: string
  number: number
  /** Size of the file. */
  bytes: number
  /** Bytes up to the end of the last valid record. */
  goodBytes: number
  /** Number of valid records. */
  entries: number
  /** Highest index in the segment; 0 when it is empty. */
  highestIndex: number
}

/** Header of the hard state file, which has no further content. */
export interface HardStateHeader {
  hardState: HardState
  /** Number of the newest segment with synced records; 0 if there was none. A missing segment up to it is damage. */
  lastSegment: number
}

/** Header of a snapshot file. */
export interface SnapshotHeader extends Omit<Snapshot, 'data'> {
  /** Number of the first segment of the log that continues this snapshot; older segments are obsolete. */
  firstSegment: number
}

/** Damage that prevents a controller from starting. */
export interface Damage {
  file: string
  offset: number
  reason: string
}

export interface FolderContent {
  isEmpty: boolean
  hardState?: HardState
  /** Number of the newest segment with synced records, as the hard state file names it; 0 if there was none. */
  lastSegment: number
  snapshot?: Snapshot
  segments: Segment[]
  /** Entries after the snapshot. */
  entries: LogEntry[]
  /** Number of the next segment to create. */
  nextSegment: number
  /** Files left behind by a crash: incomplete ones, and segments that the snapshot made obsolete. */
  leftovers: string[]
  damages: Damage[]
}

export function formatSegmentName (number: number): string {
  return `${SEGMENT_PREFIX}${String(number).padStart(NAME_DIGITS, '0')}`
}

export function formatSnapshotName (index: number): string {
  return `${SNAPSHOT_PREFIX}${String(index).padStart(NAME_DIGITS, '0')}`
}

export function isSnapshotName (name: string): boolean {
  return name.startsWith(SNAPSHOT_PREFIX) && !name.endsWith('.tmp')
}

/** Reads the whole folder; damage is reported in the result instead of thrown. */
export async function readFolderContent (disk: Disk): Promise<FolderContent> {
  const names = (await disk.list()).sort()
  const content: FolderContent = {
    isEmpty: true, segments: [], entries: [], lastSegment: 0, nextSegment: 1, leftovers: [], damages: []
  }
  content.leftovers = names.filter(name => name.endsWith('.tmp'))
  await readHardState(disk, names, content)
  await readSnapshot(disk, names, content)
  await readSegments(disk, names, content)
  content.isEmpty = content.hardState === undefined && content.snapshot === undefined &&
    content.segments.length === 0 && content.damages.length === 0
  if (!content.isEmpty && content.hardState === undefined && content.damages.length === 0) {
    content.damages.push({ file: HARD_STATE_FILE, offset: 0, reason: 'missing' })
  }
  return content
}

async function readHardState (disk: Disk, names: string[], content: FolderContent): Promise<void> {
  if (!names.includes(HARD_STATE_FILE)) return
  const checked = decodeChecksummedFile<HardStateHeader>(await disk.read(HARD_STATE_FILE))
  if (checked === undefined) {
    content.damages.push({ file: HARD_STATE_FILE, offset: 0, reason: 'checksum differs' })
    return
  }
  content.hardState = checked.header.hardState
  content.lastSegment = checked.header.lastSegment
}

async function readSnapshot (disk: Disk, names: string[], content: FolderContent): Promise<void> {
  const name = names.filter(isSnapshotName).at(-1)
  if (name === undefined) return
  const checked = decodeChecksummedFile<SnapshotHeader>(await disk.read(name))
  if (checked === undefined) {
    content.damages.push({ file: name, offset: 0, reason: 'checksum differs' })
    return
  }
  const { firstSegment, ...metadata } = checked.header
  content.snapshot = { ...metadata, data: checked.body }
  content.nextSegment = firstSegment
}

async function readSegments (disk: Disk, names: string[], content: FolderContent): Promise<void> {
  const segments = names.filter(name => name.startsWith(SEGMENT_PREFIX))
  const liveSegments = segments.filter(name => parseSegmentNumber(name) >= content.nextSegment)
  content.leftovers.push(...segments.filter(name => parseSegmentNumber(name) < content.nextSegment))
  const entries: LogEntry[] = []
  for (const name of liveSegments) {
    const isLast = name === liveSegments.at(-1)
    readSegment(name, await disk.read(name), isLast, entries, content)
  }
  if (content.nextSegment <= content.lastSegment) {
    content.damages.push({ file: formatSegmentName(content.nextSegment), offset: 0, reason: 'missing' })
  }
  keepEntriesAfterSnapshot(entries, content)
}

function readSegment (name: string, data: Uint8Array, isLast: boolean, entries: LogEntry[], content: FolderContent): void {
  const number = parseSegmentNumber(name)
  if (number !== content.nextSegment) {
    content.damages.push({ file: formatSegmentName(content.nextSegment), offset: 0, reason: 'missing' })
  }
  content.nextSegment = number + 1
  const scan = scanRecords(data)
  if (scan.tail === 'damage' || (scan.tail === 'tornTail' && !isLast)) {
    content.damages.push({ file: name, offset: scan.goodBytes, reason: 'bad record before the end of the log' })
  }
  let highestIndex = 0
  for (const entry of scan.entries) {
    highestIndex = Math.max(highestIndex, entry.index)
    if (insertEntry(entries, entry)) continue
    const reason = `entry ${entry.index} does not follow entry ${entries.at(-1)?.index}`
    content.damages.push({ file: name, offset: 0, reason })
    break
  }
  content.segments.push({
    name, number, bytes: data.length, goodBytes: scan.goodBytes, entries: scan.entries.length, highestIndex
  })
}

function parseSegmentNumber (name: string): number {
  return Number(name.slice(SEGMENT_PREFIX.length))
}

/**
 * Adds an entry; one whose index exists already replaces that entry and all that
 * follow. Returns false when entries before it are missing.
 */
function insertEntry (entries: LogEntry[], entry: LogEntry): boolean {
  if (entries.length === 0) {
    entries.push(entry)
    return true
  }
  const position = entry.index - entries[0].index
  if (position > entries.length) return false
  entries.length = Math.max(position, 0)
  entries.push(entry)
  return true
}

function keepEntriesAfterSnapshot (entries: LogEntry[], content: FolderContent): void {
  if (entries.length === 0) return
  const snapshotIndex = content.snapshot?.index ?? 0
  const firstIndex = entries[0].index
  const lastIndex = entries[entries.length - 1].index
  if (firstIndex > snapshotIndex + 1 || lastIndex < snapshotIndex) {
    const file = content.segments[0].name
    content.damages.push({ file, offset: 0, reason: `entries ${firstIndex} to ${lastIndex} leave a gap to snapshot ${snapshotIndex}` })
    return
  }
  content.entries = entries.filter(entry => entry.index > snapshotIndex)
}
