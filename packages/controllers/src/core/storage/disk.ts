/**
 * Abstraction of the data folder: a flat set of named files. File content is
 * durable only after the file is synced; a created, renamed or removed name only
 * after the folder is synced.
 */

import { mkdir, open, readFile, readdir, rename, rm, truncate, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { FolderLock } from './folder-lock.js'

export abstract class Disk {
  abstract list (): Promise<string[]>
  abstract read (name: string): Promise<Uint8Array>
  /** Creates a file or replaces its content. */
  abstract write (name: string, data: Uint8Array): Promise<void>
  /** Appends to a file, which is created if missing. */
  abstract append (name: string, data: Uint8Array): Promise<void>
  abstract truncate (name: string, length: number): Promise<void>
  /** Makes the current content of an existing file durable. */
  abstract sync (name: string): Promise<void>
  abstract rename (from: string, to: string): Promise<void>
  /** Removes a file; does nothing if it is missing. */
  abstract remove (name: string): Promise<void>
  /** Makes created, renamed and removed names durable. */
  abstract syncFolder (): Promise<void>
  abstract close (): Promise<void>
}

export class FolderDisk extends Disk {
  /** Open handles of the files that were appended to, by name. */
  private readonly handles = new Map<string, FileHandle>()

  private constructor (private readonly folder: string, private readonly lock?: FolderLock) {
    super()
  }

  /** Gives access without a lock to an existing folder, for reading; another process may be using it. */
  static create (folder: string): FolderDisk {
    return new FolderDisk(folder)
  }

  /**
   * Opens a folder for use until `close`, creating it if missing. Throws
   * failedPrecondition when another process uses it. Without the lock
   * (`isLocked` false), the environment must ensure that only one process uses it.
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
    const handle = await this.openForAppend(name)
    await handle.appendFile(data)
  }

  async truncate (name: string, length: number): Promise<void> {
    await truncate(join(this.folder, name), length)
  }

  async sync (name: string): Promise<void> {
    const openHandle = this.handles.get(name)
    if (openHandle !== undefined) return await openHandle.datasync()
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

  private async openForAppend (name: string): Promise<FileHandle> {
    const openHandle = this.handles.get(name)
    if (openHandle !== undefined) return openHandle
    const handle = await open(join(this.folder, name), 'a')
    this.handles.set(name, handle)
    return handle
  }
}
