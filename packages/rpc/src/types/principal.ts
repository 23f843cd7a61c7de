/**
 * Who calls, and which services such a one may call.
 */

export const Role = Object.freeze({
  caller: 'caller',
  operator: 'operator',
  target: 'target',
  platform: 'platform'
} as const)
export type Role = typeof Role[keyof typeof Role]

export interface Principal {
  /** Name under which requests, changes and audit entries are kept; without spaces. */
  name: string
  roles: readonly Role[]
  /** The only team that it may act for; empty for all. */
  team: string
}

/** What the server knows of a caller before it has read the body. */
export interface Credentials {
  /** Value of the Authorization header; empty without one. */
  authorization: string
  /** Value of the x-flamingorouter-principal header; empty without one. */
  claimedName: string
  /** IP address of the other end. */
  remoteAddress: string
}

/** Names the caller, or throws a Failure of kind unauthenticated. */
export type Authenticate = (credentials: Credentials) => Principal
