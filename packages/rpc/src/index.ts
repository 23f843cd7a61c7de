/**
 * Unary RPC over HTTP with the Connect protocol: server, client, and the bindings of
 * methods to the scheduler.
 */

export * from './internal.js'
