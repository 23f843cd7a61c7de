/**
 * The data folder as the storage sees it: a flat set of named files. Nothing
 * lasts before it is synced; a new, renamed or removed name only after the
 * folder is synced.
 */

import { mkdir, open, readFile, readdir, rename, rm, truncate, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { FolderLock } from './lock.js'

export abstract class Disk {
  abstract list (): Promise<string[]>
  abstract read (name: string): Promise<Uint8Array>
  /** Creates a file or replaces its content. */
  abstract write (name: string, data: Uint8Array): Promise<void>
  /** Adds to the end of a file, which is created when missing. */
  abstract append (name: string, data: Uint8Array): Promise<void>
  abstract truncate (name: string, length: number): Promise<void>
  abstract sync (name: string): Promise<void>
  abstract rename (from: string, to: string): Promise<void>
  /** Removes a file; a missing one is fine. */
  abstract remove (name: string): Promise<void>
  abstract syncFolder (): Promise<void>
  abstract close (): Promise<void>
}

export class FolderDisk extends Disk {
  /** Files that were appended to, kept open. */
  private readonly handles = new Map<string, FileHandle>()

  private constructor (private readonly folder: string, private readonly lock?: FolderLock) {
    super()
  }

  /** To read a folder that is there, which may be in use. */
  static create (folder: string): FolderDisk {
    return new FolderDisk(folder)
  }

  /**
   * To use a folder, which is made when missing, until `close`. Throws
   * failedPrecondition when a process uses it already. Without the lock, whoever
   * starts the processes sees to it that there is one.
   */
  static async open (folder: string, isLocked = true): Promise<FolderDisk> {
    await mkdir(folder, { recursive: true })
    return new FolderDisk(folder, isLocked ? await FolderLock.acquire(folder) : undefined)
  }

  async list (): Promise<string[]> {
    return await readdir(this.folder)
  }

  async read (name: string): Promise<Uint8Array> {
    return await readFile(join(this.folder, name))
  }

  async write (name: string, data: Uint8Array): Promise<void> {
    const handle = await open(join(this.folder, name), 'w')
    try {
      await handle.writeFile(data)
    } finally {
      await handle.close()
    }
  }

  async append (name: string, data: Uint8Array): Promise<void> {
    const handle = await this.handleOf(name)
    await handle.appendFile(data)
  }

  async truncate (name: string, length: number): Promise<void> {
    await truncate(join(this.folder, name), length)
  }

  async sync (name: string): Promise<void> {
    const kept = this.handles.get(name)
    if (kept !== undefined) return await kept.datasync()
    const handle = await open(join(this.folder, name), 'r+')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }

  async rename (from: string, to: string): Promise<void> {
    await rename(join(this.folder, from), join(this.folder, to))
  }

  async remove (name: string): Promise<void> {
    await this.handles.get(name)?.close()
    this.handles.delete(name)
    await rm(join(this.folder, name), { force: true })
  }

  async syncFolder (): Promise<void> {
    const handle = await open(this.folder, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }

  async close (): Promise<void> {
    for (const handle of this.handles.values()) await handle.close()
    this.handles.clear()
    await this.lock?.release()
  }

  private async handleOf (name: string): Promise<FileHandle> {
    const kept = this.handles.get(name)
    if (kept !== undefined) return kept
    const handle = await open(join(this.folder, name), 'a')
    this.handles.set(name, handle)
    return handle
  }
}
