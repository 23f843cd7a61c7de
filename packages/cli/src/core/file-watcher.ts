/**
 * Polls files such as keys and tokens for changes, so that they can be reloaded.
 */

import { unwatchFile, watchFile } from 'node:fs'

const POLL_INTERVAL_MS = 1_000

export class FileWatcher {
  private constructor (private readonly files: readonly string[]) {}

  /** Calls `handleChange` after any of the files changed, until the watcher is closed. */
  static create (files: readonly string[], handleChange: () => void): FileWatcher {
    for (const file of files) {
      watchFile(file, { interval: POLL_INTERVAL_MS, persistent: false }, (current, previous) => {
        const isSame = current.mtimeMs === previous.mtimeMs && current.size === previous.size && current.ino === previous.ino
        if (!isSame) handleChange()
      })
    }
    return new FileWatcher(files)
  }

  close (): void {
    for (const file of this.files) unwatchFile(file)
  }
}
