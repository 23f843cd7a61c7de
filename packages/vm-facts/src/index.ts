/**
 * The "vm-facts" package: notices about planned stops and losses of VMs, from the platform that hosts them.
 */

export * from './internal.js'
