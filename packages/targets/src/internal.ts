/**
 * Re-exports every module of the package, so that the order in which modules are loaded
 * is determined in this file alone.
 */

export * from './stand-in/run-journal.js'
export * from './stand-in/runner-behaviour.js'
export * from './stand-in/run-server.js'
export * from './stand-in/stand-in-runner.js'
export * from './stand-in/worker-core.js'
export * from './stand-in/stand-in-worker.js'
export * from './core/rules.js'
export * from './core/bindings.js'
