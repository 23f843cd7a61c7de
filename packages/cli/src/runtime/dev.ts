/**
 * Runs a small cell in one process.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'

export interface DevOptions {
  /** Puts work of every kind through the cell, and ends. */
  demo: boolean
  /** Port of the entry; 0 takes a free one. */
  port: number
}

export async function runDev (options: DevOptions): Promise<void> {
  fail(ErrorKind.unimplemented, `a cell on port ${options.port} cannot be run yet`)
}
