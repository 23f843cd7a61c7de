/**
 * The peer "platform": what the host of the VMs tells the system.
 */

export * from './internal.js'
