/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './core/rules.js'
export * from './core/bindings.js'
