/**
 * The peer "targets": workers that run tasks and runners that run requests.
 */

export * from './internal.js'
