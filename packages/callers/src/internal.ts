/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './bindings/rules.js'
export * from './bindings/jobs.js'
