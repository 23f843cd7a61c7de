/**
 * Files that are read again when they change, as keys and tokens are.
 */

import { unwatchFile, watchFile } from 'node:fs'

const LOOK_EVERY_MS = 1_000

export class WatchedFiles {
  private constructor (private readonly files: readonly string[]) {}

  /** Calls `changed` after any of the files changed, until it is closed. */
  static create (files: readonly string[], changed: () => void): WatchedFiles {
    for (const file of files) {
      watchFile(file, { interval: LOOK_EVERY_MS, persistent: false }, (now, before) => {
        const isSame = now.mtimeMs === before.mtimeMs && now.size === before.size && now.ino === before.ino
        if (!isSame) changed()
      })
    }
    return new WatchedFiles(files)
  }

  close (): void {
    for (const file of this.files) unwatchFile(file)
  }
}
