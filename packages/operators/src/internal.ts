/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './core/rules.js'
export * from './core/sums.js'
export * from './core/workloads.js'
export * from './core/configuration.js'
export * from './core/cell.js'
export * from './core/bindings.js'
