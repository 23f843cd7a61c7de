/**
 * Re-exports every module of the package, so that the import order is defined in one place.
 */

export * from './core/rules.js'
export * from './core/bindings.js'
