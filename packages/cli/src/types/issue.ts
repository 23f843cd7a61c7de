/**
 * An error or a warning about one value in a file.
 */

export interface Issue {
  /** Path in the file, as in controllers[2].address; empty for the file as a whole. */
  path: string
  expected: string
  found: string
}
