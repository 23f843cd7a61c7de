/**
 * Client accounts: who submits staged jobs. An account has keys that its callers
 * present, a share of a full cell, and a cap on what it may have running.
 */

import type { Resources } from './resources.js'

export interface ClientAccount {
  name: string
  /** SHA-256 of each of its keys, in hexadecimal. */
  keyDigests: string[]
  /** Jobs per second that the account is owed; also its share, relative to those of other accounts, when the cell is full. */
  weight: number
  /** The most that it may have on all workers together; 0 in a dimension means no limit. */
  cap: Resources
  /** 0 is the highest priority. */
  priority: number
}
