/**
 * A disk in memory that keeps what was synced and what was not apart, so that a
 * crash loses or tears the rest.
 */

import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { Disk } from '../../src/index.js'

interface Inode {
  data: Uint8Array
  synced: Uint8Array
}

type Names = Map<string, Inode>

/** The medium outlives the processes that use it. */
export class Medium {
  names: Names = new Map()
  private durableNames: Names = new Map()
  private journal: Array<(names: Names) => void> = []

  static create (): Medium {
    return new Medium()
  }

  /** Changes the folder now, and durably once the folder is synced. */
  change (apply: (names: Names) => void): void {
    apply(this.names)
    this.journal.push(apply)
  }

  /** Number of changes of the folder so far not durable. */
  get changes (): number {
    return this.journal.length
  }

  syncFolder (changes: number): void {
    for (const apply of this.journal.splice(0, changes)) apply(this.durableNames)
  }

  /** What would be left of a file if all that is not synced were lost. */
  syncedFile (name: string): Uint8Array | undefined {
    return this.durableNames.get(name)?.synced
  }

  /** A medium that holds only what is synced. */
  syncedCopy (): Medium {
    const copy = Medium.create()
    for (const [name, { synced }] of this.durableNames) copy.names.set(name, { data: synced, synced })
    return copy
  }

  /** Loses a random part of what was not synced. */
  crash (random: RandomGenerator): void {
    // Changes of a folder become durable in any order before it is synced.
    for (const apply of this.journal) if (uniformInt(random, 0, 1) === 0) apply(this.durableNames)
    this.journal = []
    this.names = new Map(this.durableNames)
    for (const inode of this.names.values()) {
      inode.data = tear(inode, random)
      inode.synced = inode.data
    }
  }
}

function tear ({ data, synced }: Inode, random: RandomGenerator): Uint8Array {
  const isAppended = data.length >= synced.length && Buffer.from(data.subarray(0, synced.length)).equals(synced)
  if (!isAppended) return uniformInt(random, 0, 1) === 0 ? synced : data
  const kept = Uint8Array.from(data.subarray(0, uniformInt(random, synced.length, data.length)))
  // A page in the middle of what was not synced may be missing.
  if (uniformInt(random, 0, 2) === 0) kept.fill(0, uniformInt(random, synced.length, kept.length))
  return kept
}

/** A process's access to a medium; sync takes as long as `delay` says, in fake time. */
export class FakeDisk extends Disk {
  isFailing = false
  private isDead = false
  private constructor (
    readonly medium: Medium,
    private readonly delay: (done: () => void) => void
  ) {
    super()
  }

  static create (medium: Medium, delay: (done: () => void) => void = done => { done() }): FakeDisk {
    return new FakeDisk(medium, delay)
  }

  /** The process died: nothing that it asked for happens any more. */
  kill (): void {
    this.isDead = true
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
    await this.wait()
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
    const changes = await this.run(() => this.medium.changes)
    await this.wait()
    await this.run(() => { this.medium.syncFolder(changes) })
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

  private wait (): Promise<void> {
    return new Promise(resolve => { this.delay(resolve) })
  }

  /** Acts at once, so that nothing happens after the process died. */
  private async run<T> (act: () => T): Promise<T> {
    if (this.isDead) await new Promise<void>(() => {})
    if (this.isFailing) throw new Error('no space left on device')
    return act()
  }
}
