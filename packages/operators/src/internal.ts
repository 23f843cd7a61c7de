/**
 * Re-exports every module of the package, so that the order in which modules are loaded
 * is determined in this file alone.
 */

export * from './core/rules.js'
export * from './core/resource-sums.js'
export * from './core/workloads.js'
export * from './core/configuration.js'
export * from './core/cell.js'
export * from './core/bindings.js'
