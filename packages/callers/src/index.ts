export * from './internal.js'
