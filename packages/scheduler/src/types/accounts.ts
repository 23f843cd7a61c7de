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

/** The part of a cell configuration that concerns accounts. */
export interface AccountDirectory {
  /** Undefined or empty where the cell has no accounts, and then calls need no key. */
  accounts?: ClientAccount[]
  /** Accounts that were removed while they had jobs that had not ended; their keys are not valid. */
  retiredAccounts?: ClientAccount[]
}

/**
 * Accounts by key digest for each configuration. A lookup by digest, unlike a comparison with each key, takes a time that does
 * not depend on the keys. The index is built on the first call and dropped with its configuration.
 */
const accountsByKey = new WeakMap<ClientAccount[], Map<string, ClientAccount>>()

/** The account to which a key belongs, by the SHA-256 of the key in hexadecimal; undefined when the key is not valid. */
export function findAccountByKey ({ accounts = [] }: AccountDirectory, keyDigest: string): ClientAccount | undefined {
  let index = accountsByKey.get(accounts)
  if (index === undefined) {
    index = new Map(accounts.flatMap(account => account.keyDigests.map(digest => [digest, account] as const)))
    accountsByKey.set(accounts, index)
  }
  return index.get(keyDigest)
}

/** A configured account, or one that was removed while it still has live jobs. */
export function findAccount (directory: AccountDirectory | undefined, name: string): ClientAccount | undefined {
  return directory?.accounts?.find(account => account.name === name) ?? directory?.retiredAccounts?.find(account => account.name === name)
}

export function hasAccounts (directory: AccountDirectory | undefined): boolean {
  return directory?.accounts !== undefined && directory.accounts.length > 0
}
