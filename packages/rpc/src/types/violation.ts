/**
 * A field of a request that breaks a rule.
 */

export interface Violation {
  /** Path of the field within the request, for example spec.resources.millicores. */
  path: string
  expected: string
  found: string
}

/** Adds every violation in `value`, found at `path`, to `report`. */
export type Check<T> = (value: T, path: string, report: Violation[]) => void
