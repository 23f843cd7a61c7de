/**
 * Runs the roles that a process's settings name.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { Settings } from '../types/settings.js'

export async function runServe (settings: Settings): Promise<void> {
  fail(ErrorKind.unimplemented, `process ${settings.process} cannot be run yet`)
}
