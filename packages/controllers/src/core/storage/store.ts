/**
 * Storage of one replica in its data folder: hard state, snapshot, and the log
 * in segments. A write is done only when it is synced.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { Entry, HardState, Snapshot, Write } from '../../types/raft.js'
import { encodeChecked, replaceFile } from './checked.js'
import {
  HARD_STATE_FILE, isSnapshotName, readContent, segmentName, snapshotName, type FolderContent,
  type HardStateHead, type Segment
} from './content.js'
import type { Disk } from './disk.js'
import { encodeRecords } from './record.js'

/** A segment that has reached this size is followed by a new one. */
const SEGMENT_BYTES = 4 * 1024 * 1024

export interface StoreOptions {
  disk: Disk
  group: string
  /** Id of the controller. */
  id: string
  /** Identity for the folder, if it is a new one. */
  newDisk: string
  segmentBytes?: number
}

export class Store {
  private constructor (
    private readonly disk: Disk,
    private readonly segmentBytes: number,
    private segments: Segment[],
    private nextSegment: number,
    private lastSegment: number,
    private latest: HardState,
    readonly snapshot: Snapshot | undefined,
    readonly entries: Entry[]
  ) {}

  /**
   * Reads the folder, cuts a torn tail, and refuses damage and a folder of
   * another group or controller. The disk is closed when that fails.
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
    const content = await readContent(disk)
    refuseDamage(content)
    const hardState = content.hardState ?? await createHardState(options)
    refuseOther(hardState, options)
    for (const name of content.leftovers) await disk.remove(name)
    await cutTornTail(disk, content)
    const segmentBytes = options.segmentBytes ?? SEGMENT_BYTES
    const { segments, nextSegment, lastSegment, snapshot, entries } = content
    return new Store(disk, segmentBytes, segments, nextSegment, lastSegment, hardState, snapshot, entries)
  }

  /** Makes writes durable, in order. Returns the index of the last entry that they leave, or 0. */
  async write (writes: readonly Write[]): Promise<number> {
    const hardState = writes.findLast(write => write.kind === 'hardState')
    if (hardState?.kind === 'hardState') {
      this.latest = hardState.hardState
      await writeHardState(this.disk, { hardState: this.latest, lastSegment: this.lastSegment })
    }
    let lastIndex = 0
    let entries: Entry[] = []
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
    return this.latest
  }

  async close (): Promise<void> {
    await this.disk.close()
  }

  private async appendEntries (entries: readonly Entry[]): Promise<void> {
    if (entries.length === 0) return
    const segment = this.activeSegment()
    const data = encodeRecords(entries, segment.bytes)
    await this.disk.append(segment.name, data)
    await this.disk.sync(segment.name)
    if (segment.number > this.lastSegment) await this.noteSegment(segment.number)
    segment.bytes += data.length
    segment.goodBytes = segment.bytes
    segment.entries += entries.length
    for (const entry of entries) segment.highestIndex = Math.max(segment.highestIndex, entry.index)
  }

  /** Makes a new segment durable, and the fact that it must be there. */
  private async noteSegment (number: number): Promise<void> {
    await this.disk.syncFolder()
    this.lastSegment = number
    await writeHardState(this.disk, { hardState: this.latest, lastSegment: number })
  }

  private activeSegment (): Segment {
    const last = this.segments.at(-1)
    if (last !== undefined && last.bytes < this.segmentBytes) return last
    const number = this.nextSegment++
    const segment = { name: segmentName(number), number, bytes: 0, goodBytes: 0, entries: 0, highestIndex: 0 }
    this.segments.push(segment)
    return segment
  }

  private async writeSnapshot (write: Extract<Write, { kind: 'snapshot' }>): Promise<void> {
    const { data, ...head } = write.snapshot
    const name = snapshotName(head.index)
    const kept = write.keepLog ? this.segments.filter(segment => segment.highestIndex >= write.firstIndex) : []
    const obsolete = this.segments.filter(segment => kept.length === 0 || segment.number < kept[0].number)
    const firstSegment = kept[0]?.number ?? this.nextSegment
    await replaceFile(this.disk, name, encodeChecked({ ...head, firstSegment }, data))
    // The snapshot says which segments count, so that what stays behind after a crash is harmless.
    for (const segment of obsolete) await this.disk.remove(segment.name)
    this.segments = this.segments.slice(obsolete.length)
    for (const other of await this.disk.list()) {
      if (isSnapshotName(other) && other < name) await this.disk.remove(other)
    }
  }
}

function refuseDamage (content: FolderContent): void {
  const damage = content.damages[0]
  if (damage === undefined) return
  fail(ErrorKind.dataLoss, `${damage.file} is damaged at offset ${damage.offset}: ${damage.reason}`)
}

function refuseOther (hardState: HardState, options: StoreOptions): void {
  if (hardState.group !== options.group) {
    fail(ErrorKind.failedPrecondition, `the data folder belongs to group ${hardState.group}, not ${options.group}`)
  }
  if (hardState.id !== options.id) {
    fail(ErrorKind.failedPrecondition, `the data folder belongs to controller ${hardState.id}, not ${options.id}`)
  }
}

async function createHardState (options: StoreOptions): Promise<HardState> {
  const hardState: HardState = {
    group: options.group, id: options.id, disk: options.newDisk, term: 0, vote: '', members: [], disks: {}
  }
  await writeHardState(options.disk, { hardState, lastSegment: 0 })
  return hardState
}

async function writeHardState (disk: Disk, head: HardStateHead): Promise<void> {
  await replaceFile(disk, HARD_STATE_FILE, encodeChecked(head))
}

async function cutTornTail (disk: Disk, content: FolderContent): Promise<void> {
  const last = content.segments.at(-1)
  if (last === undefined || last.goodBytes === last.bytes) return
  await disk.truncate(last.name, last.goodBytes)
  await disk.sync(last.name)
  last.bytes = last.goodBytes
}
