/**
 * Durable storage of one replica in its data folder: hard state, snapshot, and
 * the log in segments. A write completes only after it is synced.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { LogEntry, HardState, Snapshot, StorageWrite } from '../../types/raft.js'
import { encodeChecksummedFile, replaceFile } from './checksummed-file.js'
import {
  HARD_STATE_FILE, isSnapshotName, readFolderContent, formatSegmentName, formatSnapshotName, type FolderContent,
  type HardStateHeader, type Segment
} from './folder-content.js'
import type { Disk } from './disk.js'
import { encodeRecords } from './log-record.js'

/** A new segment is started once the current one has reached this size. */
const SEGMENT_BYTES = 4 * 1024 * 1024

export interface StoreOptions {
  disk: Disk
  group: string
  /** Id of the controller. */
  id: string
  /** Identity to give to the folder if it is new. */
  newDiskId: string
  /** Size at which a new segment is started, in bytes. */
  segmentBytes?: number
}

export class Store {
  private constructor (
    private readonly disk: Disk,
    private readonly segmentBytes: number,
    private segments: Segment[],
    private nextSegment: number,
    private lastSegment: number,
    private currentHardState: HardState,
    readonly snapshot: Snapshot | undefined,
    readonly entries: LogEntry[]
  ) {}

  /**
   * Reads the folder, truncates a torn tail and removes leftovers of a crash.
   * Throws dataLoss for a damaged folder and failedPrecondition for one of
   * another group or controller, after closing the disk.
   */
  static async open (options: StoreOptions): Promise<Store> {
    try {
      return await Store.load(options)
    } catch (thrown) {
      await options.disk.close()
      throw thrown
    }
  }

  private static async load (options: StoreOptions): Promise<Store> {
    const { disk } = options
    const content = await readFolderContent(disk)
    requireUndamaged(content)
    const hardState = content.hardState ?? await createHardState(options)
    requireSameController(hardState, options)
    for (const name of content.leftovers) await disk.remove(name)
    await truncateTornTail(disk, content)
    const segmentBytes = options.segmentBytes ?? SEGMENT_BYTES
    const { segments, nextSegment, lastSegment, snapshot, entries } = content
    return new Store(disk, segmentBytes, segments, nextSegment, lastSegment, hardState, snapshot, entries)
  }

  /**
   * Makes writes durable: first the newest hard state, then appends and snapshots in
   * order; consecutive appends share one sync (group commit). Returns the last index
   * of the log after them, or 0 when they do not touch the log.
   */
  async write (writes: readonly StorageWrite[]): Promise<number> {
    const hardState = writes.findLast(write => write.kind === 'hardState')
    if (hardState?.kind === 'hardState') {
      this.currentHardState = hardState.hardState
      await writeHardState(this.disk, { hardState: this.currentHardState, lastSegment: this.lastSegment })
    }
    let lastIndex = 0
    let entries: LogEntry[] = []
    for (const write of writes) {
      if (write.kind === 'append') {
        for (const entry of write.entries) entries.push(entry)
        lastIndex = write.entries[write.entries.length - 1].index
      } else if (write.kind === 'snapshot') {
        await this.appendEntries(entries)
        entries = []
        await this.writeSnapshot(write)
        if (!write.keepLog) lastIndex = write.snapshot.index
      }
    }
    await this.appendEntries(entries)
    return lastIndex
  }

  get hardState (): HardState {
    return this.currentHardState
  }

  async close (): Promise<void> {
    await this.disk.close()
  }

  private async appendEntries (entries: readonly LogEntry[]): Promise<void> {
    if (entries.length === 0) return
    const segment = this.activeSegment()
    const data = encodeRecords(entries, segment.bytes)
    await this.disk.append(segment.name, data)
    await this.disk.sync(segment.name)
    if (segment.number > this.lastSegment) await this.recordSegment(segment.number)
    segment.bytes += data.length
    segment.goodBytes = segment.bytes
    segment.entries += entries.length
    for (const entry of entries) segment.highestIndex = Math.max(segment.highestIndex, entry.index)
  }

  /** Makes the name of a new segment durable and records in the hard state file that the segment exists. */
  private async recordSegment (number: number): Promise<void> {
    await this.disk.syncFolder()
    this.lastSegment = number
    await writeHardState(this.disk, { hardState: this.currentHardState, lastSegment: number })
  }

  private activeSegment (): Segment {
    const last = this.segments.at(-1)
    if (last !== undefined && last.bytes < this.segmentBytes) return last
    const number = this.nextSegment++
    const segment = { name: formatSegmentName(number), number, bytes: 0, goodBytes: 0, entries: 0, highestIndex: 0 }
    this.segments.push(segment)
    return segment
  }

  private async writeSnapshot (write: Extract<StorageWrite, { kind: 'snapshot' }>): Promise<void> {
    const { data, ...metadata } = write.snapshot
    const name = formatSnapshotName(metadata.index)
    const keptSegments = write.keepLog ? this.segments.filter(segment => segment.highestIndex >= write.firstIndex) : []
    const obsoleteSegments = this.segments.filter(segment => keptSegments.length === 0 || segment.number < keptSegments[0].number)
    const firstSegment = keptSegments[0]?.number ?? this.nextSegment
    await replaceFile(this.disk, name, encodeChecksummedFile({ ...metadata, firstSegment }, data))
    // The snapshot file names the first valid segment, so obsolete ones left behind by a crash are harmless.
    for (const segment of obsoleteSegments) await this.disk.remove(segment.name)
    this.segments = this.segments.slice(obsoleteSegments.length)
    for (const other of await this.disk.list()) {
      if (isSnapshotName(other) && other < name) await this.disk.remove(other)
    }
  }
}

function requireUndamaged (content: FolderContent): void {
  const damage = content.damages[0]
  if (damage === undefined) return
  fail(ErrorKind.dataLoss, `${damage.file} is damaged at offset ${damage.offset}: ${damage.reason}`)
}

function requireSameController (hardState: HardState, options: StoreOptions): void {
  if (hardState.group !== options.group) {
    fail(ErrorKind.failedPrecondition, `the data folder belongs to group ${hardState.group}, not ${options.group}`)
  }
  if (hardState.id !== options.id) {
    fail(ErrorKind.failedPrecondition, `the data folder belongs to controller ${hardState.id}, not ${options.id}`)
  }
}

async function createHardState (options: StoreOptions): Promise<HardState> {
  const hardState: HardState = {
    group: options.group, id: options.id, disk: options.newDiskId, term: 0, vote: '', members: [], disks: {}
  }
  await writeHardState(options.disk, { hardState, lastSegment: 0 })
  return hardState
}

async function writeHardState (disk: Disk, header: HardStateHeader): Promise<void> {
  await replaceFile(disk, HARD_STATE_FILE, encodeChecksummedFile(header))
}

async function truncateTornTail (disk: Disk, content: FolderContent): Promise<void> {
  const last = content.segments.at(-1)
  if (last === undefined || last.goodBytes === last.bytes) return
  await disk.truncate(last.name, last.goodBytes)
  await disk.sync(last.name)
  last.bytes = last.goodBytes
}
