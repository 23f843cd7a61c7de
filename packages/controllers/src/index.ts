/**
 * Package "controllers": framing, links, replication, membership and storage.
 */

export * from './internal.js'
