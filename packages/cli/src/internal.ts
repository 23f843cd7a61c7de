/**
 * Re-exports the modules that index.ts exposes, so that the import order is defined in one place.
 */

export * from './types/issue.js'
export * from './types/settings.js'
export * from './utils/schema-check.js'
export * from './utils/log-line.js'
export * from './metrics/duration-window.js'
export * from './metrics/summary.js'
export * from './metrics/process-usage.js'
export * from './metrics/metrics.js'
export * from './core/settings-rules.js'
export * from './core/settings.js'
export * from './core/token-store.js'
export * from './core/cell-client.js'
export * from './core/documents.js'
