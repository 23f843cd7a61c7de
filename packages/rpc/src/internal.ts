/**
 * Re-exports every module of the package, so that the order in which modules are loaded
 * is determined in this file alone.
 */

export * from './types/violation.js'
export * from './types/principal.js'
export * from './types/call.js'
export * from './types/limits.js'
export * from './types/server-keys.js'
export * from './types/binding.js'
export * from './utils/wire-error.js'
export * from './utils/json-shape.js'
export * from './utils/codec.js'
export * from './utils/checks.js'
export * from './utils/workloads.js'
export * from './utils/bindings.js'
export * from './utils/read-body.js'
export * from './utils/run-with-cancellation.js'
export * from './utils/refuse-connection.js'
export * from './core/loopback.js'
export * from './core/server.js'
export * from './core/client.js'
