/**
 * The "callers" package: requests to services, and batch and gang jobs.
 */

export * from './internal.js'
