/**
 * The pure scheduler: decisions on tasks, requests, targets and configuration.
 */

export * from './internal.js'
