/**
 * Re-exports every module of the package, so that import order is settled here.
 */

export * from './utils/errors.js'
export * from './types/resources.js'
export * from './types/workloads.js'
export * from './types/targets.js'
export * from './types/requests.js'
export * from './types/configuration.js'
export * from './types/state.js'
export * from './types/decisions.js'
export * from './types/events.js'
export * from './types/answers.js'
export * from './types/effects.js'
export * from './types/limits.js'
export * from './core/step.js'
export * from './core/part.js'
export * from './core/apply.js'
export * from './core/scheduler.js'
