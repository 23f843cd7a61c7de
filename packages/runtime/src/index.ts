/**
 * The runtime: entries, controllers and the links between them. The command line
 * and the platform adapters are built on it.
 */

export * from './internal.js'
