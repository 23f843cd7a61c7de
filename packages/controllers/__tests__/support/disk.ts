/**
 * An in-memory disk that tracks synced and unsynced data separately, so that a
 * simulated crash can lose or tear the unsynced part.
 */

import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { Disk } from '../../src/index.js'

interface Inode {
  data: Uint8Array
  synced: Uint8Array
}

type FilesByName = Map<string, Inode>

/** Stored data, which persists across the processes that use it. */
export class Medium {
  names: FilesByName = new Map()
  private durableNames: FilesByName = new Map()
  private pendingChanges: Array<(names: FilesByName) => void> = []

  static create (): Medium {
    return new Medium()
  }

  /** Changes the folder at once; the change becomes durable when the folder is synced. */
  change (apply: (names: FilesByName) => void): void {
    apply(this.names)
    this.pendingChanges.push(apply)
  }

  get pendingChangeCount (): number {
    return this.pendingChanges.length
  }

  /** Makes the oldest `count` folder changes durable. */
  syncFolder (count: number): void {
    for (const apply of this.pendingChanges.splice(0, count)) apply(this.durableNames)
  }

  /** Synced content of a file; undefined if its name is not durable. */
  syncedFile (name: string): Uint8Array | undefined {
    return this.durableNames.get(name)?.synced
  }

  /** A copy that contains only synced data. */
  syncedCopy (): Medium {
    const copy = Medium.create()
    for (const [name, { synced }] of this.durableNames) copy.names.set(name, { data: synced, synced })
    return copy
  }

  /** Loses a random part of the unsynced data. */
  crash (random: RandomGenerator): void {
    // Folder changes that are not synced may become durable in any combination.
    for (const apply of this.pendingChanges) if (uniformInt(random, 0, 1) === 0) apply(this.durableNames)
    this.pendingChanges = []
    this.names = new Map(this.durableNames)
    for (const inode of this.names.values()) {
      inode.data = tearUnsynced(inode, random)
      inode.synced = inode.data
    }
  }
}

function tearUnsynced ({ data, synced }: Inode, random: RandomGenerator): Uint8Array {
  const isAppended = data.length >= synced.length && Buffer.from(data.subarray(0, synced.length)).equals(synced)
  if (!isAppended) return uniformInt(random, 0, 1) === 0 ? synced : data
  const kept = Uint8Array.from(data.subarray(0, uniformInt(random, synced.length, data.length)))
  // Pages of the unsynced part may be missing and read as zeros.
  if (uniformInt(random, 0, 2) === 0) kept.fill(0, uniformInt(random, synced.length, kept.length))
  return kept
}

/** Access of one process to a medium; a sync completes when `delay` calls back, in simulated time. */
export class FakeDisk extends Disk {
  isFailing = false
  private isProcessDead = false
  private constructor (
    readonly medium: Medium,
    private readonly delay: (done: () => void) => void
  ) {
    super()
  }

  static create (medium: Medium, delay: (done: () => void) => void = done => { done() }): FakeDisk {
    return new FakeDisk(medium, delay)
  }

  /** Simulates the death of the process: operations that have not run yet never run. */
  kill (): void {
    this.isProcessDead = true
  }

  async list (): Promise<string[]> {
    return [...this.medium.names.keys()]
  }

  async read (name: string): Promise<Uint8Array> {
    return await this.run(() => this.inode(name).data)
  }

  async write (name: string, data: Uint8Array): Promise<void> {
    await this.run(() => { this.create(name, data) })
  }

  async append (name: string, data: Uint8Array): Promise<void> {
    await this.run(() => {
      if (!this.medium.names.has(name)) this.create(name, new Uint8Array())
      const inode = this.inode(name)
      inode.data = Buffer.concat([inode.data, data])
    })
  }

  async truncate (name: string, length: number): Promise<void> {
    await this.run(() => {
      const inode = this.inode(name)
      inode.data = inode.data.subarray(0, length)
    })
  }

  async sync (name: string): Promise<void> {
    const { inode, data } = await this.run(() => ({ inode: this.inode(name), data: this.inode(name).data }))
    await this.waitForSync()
    await this.run(() => { inode.synced = data })
  }

  async rename (from: string, to: string): Promise<void> {
    await this.run(() => {
      const inode = this.inode(from)
      this.medium.change(names => { names.delete(from); names.set(to, inode) })
    })
  }

  async remove (name: string): Promise<void> {
    await this.run(() => { this.medium.change(names => { names.delete(name) }) })
  }

  async syncFolder (): Promise<void> {
    const pendingChangeCount = await this.run(() => this.medium.pendingChangeCount)
    await this.waitForSync()
    await this.run(() => { this.medium.syncFolder(pendingChangeCount) })
  }

  async close (): Promise<void> {}

  private inode (name: string): Inode {
    const inode = this.medium.names.get(name)
    if (inode === undefined) throw new Error(`no file ${name}`)
    return inode
  }

  private create (name: string, data: Uint8Array): void {
    const inode: Inode = { data: Uint8Array.from(data), synced: new Uint8Array() }
    this.medium.change(names => { names.set(name, inode) })
  }

  private waitForSync (): Promise<void> {
    return new Promise(resolve => { this.delay(resolve) })
  }

  /** Runs an operation, or never settles if the process has died. No other code runs between the check and the operation. */
  private async run<T> (act: () => T): Promise<T> {
    if (this.isProcessDead) await new Promise<void>(() => {})
    if (this.isFailing) throw new Error('no space left on device')
    return act()
  }
}
