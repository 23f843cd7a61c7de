/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './types/replica.js'
export * from './types/messages.js'
export * from './types/methods.js'
export * from './core/framing.js'
export * from './core/link.js'
export * from './core/peers.js'
