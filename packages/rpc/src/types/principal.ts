/**
 * The authenticated caller of a method, and the roles that decide which services it may call.
 */

export const Role = Object.freeze({
  caller: 'caller',
  operator: 'operator',
  target: 'target',
  platform: 'platform'
} as const)
export type Role = typeof Role[keyof typeof Role]

export interface Principal {
  /** Name under which requests, changes and audit entries are recorded; without spaces. */
  name: string
  roles: readonly Role[]
  /** The only team that it may act for; empty for all teams. */
  team: string
}

/** What a request reveals about its caller before its body is read. */
export interface Credentials {
  /** Value of the Authorization header; empty if absent. */
  authorization: string
  /** Value of the x-flamingorouter-principal header; empty if absent. */
  claimedName: string
  /** IP address of the caller. */
  remoteAddress: string
}

/** Identifies the caller, or throws a Failure of kind `unauthenticated`. */
export type Authenticate = (credentials: Credentials) => Principal
