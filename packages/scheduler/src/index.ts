/**
 * The scheduler without input or output: decisions on tasks, requests, targets and
 * configuration.
 */

export * from './internal.js'
