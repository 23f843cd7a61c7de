/** A short digest that stands for an id of any length in the replicated state. */

import { createHash } from 'node:crypto'

/** Length in base64url characters of six bits each, so 72 bits. */
const FINGERPRINT_LENGTH = 12

export function computeFingerprint (text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, FINGERPRINT_LENGTH)
}
