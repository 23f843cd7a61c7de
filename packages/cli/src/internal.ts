/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './types/settings.js'
export * from './core/settings-rules.js'
export * from './core/settings.js'
export * from './core/cell-client.js'
export * from './core/documents.js'
