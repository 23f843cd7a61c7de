/**
 * Something wrong, or worth a warning, in a file.
 */

export interface Issue {
  /** Path in the file, as in controllers[2].address; empty for the whole of it. */
  path: string
  expected: string
  found: string
}
