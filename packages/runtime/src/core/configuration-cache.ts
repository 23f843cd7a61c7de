/**
 * The configuration in force in an entry, and whether the entry may still act on
 * it. It counts as fresh for a fixed time after the sending of the last request,
 * heartbeat or fetch, whose answer had this version.
 */

import type { ConfigurationAnswer, HeartbeatAnswer } from '@flamingorouter/controllers'
import { monotonicNow } from './clock.js'
import { FRESHNESS_LIMIT_MS } from './entry-table.js'

export class ConfigurationCache {
  /** Version in force; -1 until the first configuration has arrived. */
  version = -1
  /** Documents of the version in force, by name. */
  readonly documents = new Map<string, unknown>()
  /**
   * Monotonic time in milliseconds at which the last request that confirmed the version
   * was sent. The arrival of its answer would be too late a time, since the version may
   * have changed after the leader answered.
   */
  private confirmedAt = -Infinity
  private isFetching = false

  private constructor (
    private readonly fetchConfiguration: () => Promise<ConfigurationAnswer>,
    private readonly handleChange: (version: number) => void
  ) {}

  static create (fetchConfiguration: () => Promise<ConfigurationAnswer>, handleChange: (version: number) => void): ConfigurationCache {
    return new ConfigurationCache(fetchConfiguration, handleChange)
  }

  /** True if the version in force was confirmed recently enough to admit work under it. */
  get isFresh (): boolean {
    return monotonicNow() - this.confirmedAt <= FRESHNESS_LIMIT_MS
  }

  /**
   * Handles the answer to a heartbeat that was sent at `sentAt`, in monotonic
   * milliseconds; fetches the configuration when the answer names a newer version.
   */
  confirm (answer: HeartbeatAnswer, sentAt: number): void {
    if (answer.configurationVersion === this.version) {
      this.confirmedAt = Math.max(this.confirmedAt, sentAt)
      return
    }
    if (answer.configurationVersion < this.version || this.isFetching) return
    this.isFetching = true
    // After a failed fetch, the answer to the next heartbeat starts another one.
    this.update().catch(() => {}).finally(() => { this.isFetching = false })
  }

  private async update (): Promise<void> {
    const sentAt = monotonicNow()
    const answer = await this.fetchConfiguration()
    if (answer.version < this.version) return
    this.documents.clear()
    for (const { name, document } of answer.documents) this.documents.set(name, JSON.parse(document))
    this.version = answer.version
    this.confirmedAt = Math.max(this.confirmedAt, sentAt)
    this.handleChange(answer.version)
  }
}
