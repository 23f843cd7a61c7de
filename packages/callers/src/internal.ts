/**
 * Re-exports every module of the package, so that the order in which modules are loaded
 * is determined in this file alone.
 */

export * from './bindings/rules.js'
export * from './bindings/jobs.js'
export * from './types/clients.js'
export * from './types/limits.js'
export * from './types/timers.js'
export * from './core/byte-budget.js'
export * from './core/http-runner-client.js'
export * from './core/submission.js'
export * from './core/request-flow.js'
