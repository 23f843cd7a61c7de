/**
 * The runtime: entries, controllers and the links that join them. The command
 * line and the adapters of platforms stand on it.
 */

export * from './internal.js'
