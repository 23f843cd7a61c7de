/**
 * Naming of callers where no tokens are set up: the loopback interface alone is
 * admitted, under whatever name it gives.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { Role, type Authenticate } from '../types/principal.js'

/** Name of a caller that gives none. */
export const ANONYMOUS = 'anonymous'

const NAME = /^[\x21-\x7e]{1,128}$/
const ALL_ROLES: readonly Role[] = Object.freeze(Object.values(Role))

export function isLoopback (address: string): boolean {
  const plain = address.startsWith('::ffff:') ? address.slice('::ffff:'.length) : address
  return plain === '::1' || plain.startsWith('127.')
}

/** Admits the loopback interface with all roles, named by the x-flamingorouter-principal header. */
export function admitLoopback (): Authenticate {
  return ({ claimedName, remoteAddress }) => {
    if (!isLoopback(remoteAddress)) fail(ErrorKind.unauthenticated, 'without tokens only the loopback interface is served')
    const name = claimedName === '' ? ANONYMOUS : claimedName
    if (!NAME.test(name)) fail(ErrorKind.unauthenticated, 'x-flamingorouter-principal must be 1 to 128 printable characters')
    return { name, roles: ALL_ROLES, team: '' }
  }
}
