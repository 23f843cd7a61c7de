/**
 * Authentication where no tokens are configured: only callers on the loopback interface are
 * admitted, under the name that they claim.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { Role, type Authenticate } from '../types/principal.js'

/** Name of a caller that claims none. */
export const ANONYMOUS_NAME = 'anonymous'

const PRINCIPAL_NAME = /^[\x21-\x7e]{1,128}$/
const ALL_ROLES: readonly Role[] = Object.freeze(Object.values(Role))

/** True for loopback addresses, including IPv4 addresses mapped to IPv6. */
export function isLoopback (address: string): boolean {
  const unmappedAddress = address.startsWith('::ffff:') ? address.slice('::ffff:'.length) : address
  return unmappedAddress === '::1' || unmappedAddress.startsWith('127.')
}

/**
 * Creates an authenticator that admits callers on the loopback interface with all roles,
 * under the name in the x-flamingorouter-principal header. Others are refused as
 * `unauthenticated`.
 */
export function createLoopbackAuthenticator (): Authenticate {
  return ({ claimedName, remoteAddress }) => {
    if (!isLoopback(remoteAddress)) fail(ErrorKind.unauthenticated, 'no tokens are configured, so only calls over the loopback interface are accepted')
    const name = claimedName === '' ? ANONYMOUS_NAME : claimedName
    if (!PRINCIPAL_NAME.test(name)) fail(ErrorKind.unauthenticated, 'x-flamingorouter-principal must be 1 to 128 printable characters')
    return { name, roles: ALL_ROLES, team: '' }
  }
}
