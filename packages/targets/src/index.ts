/**
 * The "targets" package: workers, which run tasks, and runners, which answer requests; and stand-ins for both.
 */

export * from './internal.js'
