/**
 * Entry point for the tests; the program itself starts in main.ts.
 */

export * from './internal.js'
