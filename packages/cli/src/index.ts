/**
 * The program's own modules, for its tests.
 */

export * from './internal.js'
