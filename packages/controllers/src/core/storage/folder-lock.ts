/**
 * Prevents two processes from using one data folder at the same time. The lock
 * is a name in the abstract socket namespace of Linux, derived from the folder's
 * device and inode. The kernel releases it when the process ends for any reason.
 */

import { stat } from 'node:fs/promises'
import { createServer, type Server } from 'node:net'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'

export class FolderLock {
  private constructor (private readonly server: Server | undefined) {}

  /**
   * Locks a folder. Throws failedPrecondition when it is locked already, by
   * another process or by this one. On systems other than Linux, takes no lock.
   */
  static async acquire (folder: string): Promise<FolderLock> {
    if (process.platform !== 'linux') return new FolderLock(undefined)
    const { dev, ino } = await stat(folder)
    const server = createServer(socket => { socket.destroy() })
    await new Promise<void>((resolve, reject) => {
      server.once('error', cause => {
        const message = `the data folder ${folder} is in use by another process`
        reject(Failure.create(ErrorKind.failedPrecondition, message, { cause }))
      })
      server.listen(`\0flamingorouter-folder-${dev}-${ino}`, resolve)
    })
    server.unref()
    return new FolderLock(server)
  }

  /** Releases the lock; does nothing if it is released already. */
  async release (): Promise<void> {
    const { server } = this
    if (server?.listening !== true) return
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  }
}
