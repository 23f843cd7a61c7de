/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './types/replica.js'
export * from './types/messages.js'
