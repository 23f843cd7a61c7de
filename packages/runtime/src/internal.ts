/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './core/clock.js'
export * from './core/runtime-log.js'
export * from './core/measures.js'
export * from './core/calls.js'
export * from './core/liveness.js'
export * from './core/watches.js'
export * from './core/proposals.js'
export * from './core/links.js'
export * from './core/leader-client.js'
export * from './core/controller.js'
export * from './core/controller-node.js'
export * from './core/freshness.js'
export * from './core/worker-commands.js'
export * from './core/entry.js'
export * from './core/request-handlers.js'
export * from './core/entry-node.js'
export * from './core/local-methods.js'
export * from './core/methods.js'
