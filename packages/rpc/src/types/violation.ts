/**
 * A field of a request that breaks a rule.
 */

export interface Violation {
  /** Path from the request down, as in spec.resources.millicores. */
  path: string
  expected: string
  found: string
}

/** Adds to `report` every rule that `value` breaks. */
export type Check<T> = (value: T, path: string, report: Violation[]) => void
