/**
 * Outcomes of idempotent requests, kept in memory for repeats and fetches. The
 * oldest are evicted when there are too many or their bodies are too large in total.
 */

import type { Outcome } from '../../types/requests.js'

/** Maximum total size of the kept bodies. */
const MAX_BODY_BYTES = 4_194_304

export interface RecentOutcome {
  /** Digest of the request, to tell a repeat from another request under the same id. */
  digest: string
  outcome: Outcome
}

export class RecentOutcomes {
  private readonly byKey = new Map<string, RecentOutcome>()
  private bodyBytes = 0

  static create (limit: number): RecentOutcomes {
    return new RecentOutcomes(limit)
  }

  private constructor (private readonly limit: number) {}

  get (key: string): RecentOutcome | undefined {
    return this.byKey.get(key)
  }

  put (key: string, digest: string, outcome: Outcome): void {
    this.remove(key)
    this.byKey.set(key, { digest, outcome })
    this.bodyBytes += outcome.body.length
    for (const oldest of this.byKey.keys()) {
      if (this.byKey.size <= this.limit && this.bodyBytes <= MAX_BODY_BYTES) return
      this.remove(oldest)
    }
  }

  remove (key: string): void {
    const recent = this.byKey.get(key)
    if (recent === undefined) return
    this.bodyBytes -= recent.outcome.body.length
    this.byKey.delete(key)
  }
}
