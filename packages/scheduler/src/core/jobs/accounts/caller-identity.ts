/**
 * Decides whether a caller may use a queue, and which client account its jobs get. The
 * load pattern that it addresses: keys that are withdrawn or moved between accounts while
 * callers keep submitting through entries that may be partitioned from the network. The
 * leader therefore decides each call by the newest configuration, and entries keep no
 * copy of it.
 */

import { findAccountByKey, hasAccounts } from '../../../types/accounts.js'
import type { CellConfiguration, JobQueue } from '../../../types/jobs.js'

export interface CallerIdentity {
  /** Why the caller may not use the queue; empty if it may. */
  fault: string
  /** Name of the account whose key the caller presents; undefined on an open queue without a key, and where the cell has no accounts. */
  account?: string
}

export function identifyCaller (cell: CellConfiguration, queue: JobQueue, keyDigest: string | undefined): CallerIdentity {
  if (!hasAccounts(cell)) return { fault: '' }
  if (keyDigest === undefined) return { fault: queue.isOpen === true ? '' : `queue ${queue.name} needs a key` }
  const account = findAccountByKey(cell, keyDigest)
  return account === undefined ? { fault: 'the key is not valid' } : { fault: '', account: account.name }
}
