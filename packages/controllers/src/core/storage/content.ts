/**
 * Reads what a data folder holds and finds damage. It changes nothing.
 */

import type { Entry, HardState, Snapshot } from '../../types/raft.js'
import { decodeChecked } from './checked.js'
import type { Disk } from './disk.js'
import { scanRecords } from './record.js'

export const HARD_STATE_FILE = 'hard-state'
const SEGMENT_PREFIX = 'log-'
const SNAPSHOT_PREFIX = 'snapshot-'
const NUMBER_DIGITS = 12

export interface Segment {
  name: string
  number: number
  bytes: number
  /** Bytes up to the end of the last good record. */
  goodBytes: number
  entries: number
  /** Highest index in the segment; 0 when it is empty. */
  highestIndex: number
}

/** What the file of the hard state holds. */
export interface HardStateHead {
  hardState: HardState
  /** Number of the newest segment that holds synced records; 0 when there was none yet. */
  lastSegment: number
}

/** What a snapshot file tells before its content. */
export interface SnapshotHead extends Omit<Snapshot, 'data'> {
  /** Number of the first segment that still counts. */
  firstSegment: number
}

/** Damage that keeps a controller from starting. */
export interface Damage {
  file: string
  offset: number
  reason: string
}

export interface FolderContent {
  isEmpty: boolean
  hardState?: HardState
  lastSegment: number
  snapshot?: Snapshot
  segments: Segment[]
  /** Entries after the snapshot. */
  entries: Entry[]
  /** Number of the segment that the log goes on with when it has none. */
  nextSegment: number
  /** Files that a crash left behind: half-made, or in front of the snapshot. */
  leftovers: string[]
  damages: Damage[]
}

export function segmentName (number: number): string {
  return `${SEGMENT_PREFIX}${String(number).padStart(NUMBER_DIGITS, '0')}`
}

export function snapshotName (index: number): string {
  return `${SNAPSHOT_PREFIX}${String(index).padStart(NUMBER_DIGITS, '0')}`
}

export function isSnapshotName (name: string): boolean {
  return name.startsWith(SNAPSHOT_PREFIX) && !name.endsWith('.tmp')
}

export async function readContent (disk: Disk): Promise<FolderContent> {
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
  const checked = decodeChecked<HardStateHead>(await disk.read(HARD_STATE_FILE))
  if (checked === undefined) {
    content.damages.push({ file: HARD_STATE_FILE, offset: 0, reason: 'checksum differs' })
    return
  }
  content.hardState = checked.head.hardState
  content.lastSegment = checked.head.lastSegment
}

async function readSnapshot (disk: Disk, names: string[], content: FolderContent): Promise<void> {
  const name = names.filter(isSnapshotName).at(-1)
  if (name === undefined) return
  const checked = decodeChecked<SnapshotHead>(await disk.read(name))
  if (checked === undefined) {
    content.damages.push({ file: name, offset: 0, reason: 'checksum differs' })
    return
  }
  const { firstSegment, ...head } = checked.head
  content.snapshot = { ...head, data: checked.body }
  content.nextSegment = firstSegment
}

async function readSegments (disk: Disk, names: string[], content: FolderContent): Promise<void> {
  const segments = names.filter(name => name.startsWith(SEGMENT_PREFIX))
  const counted = segments.filter(name => numberOf(name) >= content.nextSegment)
  content.leftovers.push(...segments.filter(name => numberOf(name) < content.nextSegment))
  const entries: Entry[] = []
  for (const name of counted) {
    const isLast = name === counted.at(-1)
    readSegment(name, await disk.read(name), isLast, entries, content)
  }
  if (content.nextSegment <= content.lastSegment) {
    content.damages.push({ file: segmentName(content.nextSegment), offset: 0, reason: 'missing' })
  }
  placeAfterSnapshot(entries, content)
}

function readSegment (name: string, data: Uint8Array, isLast: boolean, entries: Entry[], content: FolderContent): void {
  const number = numberOf(name)
  if (number !== content.nextSegment) {
    content.damages.push({ file: segmentName(content.nextSegment), offset: 0, reason: 'missing' })
  }
  content.nextSegment = number + 1
  const scan = scanRecords(data)
  if (scan.rest === 'damage' || (scan.rest === 'tornTail' && !isLast)) {
    content.damages.push({ file: name, offset: scan.goodBytes, reason: 'bad record before the end of the log' })
  }
  let highestIndex = 0
  for (const entry of scan.entries) {
    highestIndex = Math.max(highestIndex, entry.index)
    if (addEntry(entries, entry)) continue
    const reason = `entry ${entry.index} does not follow entry ${entries.at(-1)?.index}`
    content.damages.push({ file: name, offset: 0, reason })
    break
  }
  content.segments.push({
    name, number, bytes: data.length, goodBytes: scan.goodBytes, entries: scan.entries.length, highestIndex
  })
}

function numberOf (name: string): number {
  return Number(name.slice(SEGMENT_PREFIX.length))
}

/** A record with an index that is there already replaces it and all that follows. */
function addEntry (entries: Entry[], entry: Entry): boolean {
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

function placeAfterSnapshot (entries: Entry[], content: FolderContent): void {
  if (entries.length === 0) return
  const snapshotIndex = content.snapshot?.index ?? 0
  const first = entries[0].index
  const last = entries[entries.length - 1].index
  if (first > snapshotIndex + 1 || last < snapshotIndex) {
    const file = content.segments[0].name
    content.damages.push({ file, offset: 0, reason: `entries ${first} to ${last} do not meet snapshot ${snapshotIndex}` })
    return
  }
  content.entries = entries.filter(entry => entry.index > snapshotIndex)
}
