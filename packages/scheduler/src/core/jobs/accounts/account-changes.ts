/**
 * Checks the client accounts of a new configuration, and keeps those that it removes
 * while they have live jobs. The load pattern that it addresses: a configuration that
 * changes during a burst, so that an account is removed while many of its jobs wait.
 */

import type { ClientAccount } from '../../../types/accounts.js'
import { isLiveJob, type CellConfiguration } from '../../../types/jobs.js'
import type { ClusterState } from '../../../types/state.js'

/** Hexadecimal digits of a key digest that identify the key in messages and logs. */
export const SHORT_DIGEST_LENGTH = 8

/** Why accounts cannot be put in force together: two of them have the same name or share a key. Empty if they can. */
export function findAccountFault (accounts: readonly ClientAccount[]): string {
  const names = new Set<string>()
  const ownersByKey = new Map<string, string>()
  for (const { name, keyDigests } of accounts) {
    if (names.has(name)) return `more than one account has the name ${name}`
    names.add(name)
    for (const digest of keyDigests) {
      const owner = ownersByKey.get(digest)
      if (owner !== undefined) return `accounts ${owner} and ${name} share the key with the digest ${digest.slice(0, SHORT_DIGEST_LENGTH)}`
      ownersByKey.set(digest, name)
    }
  }
  return ''
}

/** Accounts that the next configuration removes while they have live jobs, with their last caps. */
export function listRetiredAccounts (current: CellConfiguration | undefined, next: CellConfiguration, state: ClusterState): ClientAccount[] {
  const { accounts = [], retiredAccounts = [] } = current ?? {}
  if (accounts.length + retiredAccounts.length === 0) return []
  const names = new Set(next.accounts?.map(account => account.name))
  const used = new Set<string | undefined>()
  for (const job of state.jobs.values()) {
    if (isLiveJob(job)) used.add(job.account)
  }
  return [...accounts, ...retiredAccounts].filter(({ name }) => !names.has(name) && used.has(name))
}
