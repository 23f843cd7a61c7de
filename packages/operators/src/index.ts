/**
 * The "operators" package: workloads, teams, policies, configuration, drains, membership,
 * status and the audit trail.
 */

export * from './internal.js'
