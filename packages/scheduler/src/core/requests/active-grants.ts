/**
 * The grants in use, by id, and the services whose slots they occupy.
 */

import type { ActiveGrant } from './live-request.js'
import type { Runner } from './runner-pool.js'
import { Service } from './service.js'

export class ActiveGrants {
  private readonly services = new Map<string, Service>()
  private readonly byId = new Map<string, ActiveGrant>()

  static create (entryLimit: number): ActiveGrants {
    return new ActiveGrants(entryLimit)
  }

  private constructor (private readonly entryLimit: number) {}

  get allServices (): Iterable<Service> {
    return this.services.values()
  }

  /** A copy, so that grants may be released during the iteration. */
  get all (): ActiveGrant[] {
    return [...this.byId.values()]
  }

  /** The service of that name; undefined when neither a runner nor a request has named it. */
  findService (name: string): Service | undefined {
    return this.services.get(name)
  }

  getOrCreateService (name: string): Service {
    let service = this.services.get(name)
    if (service === undefined) {
      service = Service.create(this.entryLimit)
      this.services.set(name, service)
    }
    return service
  }

  get (id: string): ActiveGrant | undefined {
    return this.byId.get(id)
  }

  /** Adds a grant and occupies a slot of its runner; without that runner, the grant is only recorded. */
  add (grant: ActiveGrant): void {
    this.byId.set(grant.id, grant)
    const service = this.findServiceOfRunner(grant.runner)
    const runner = service?.runners.get(grant.runner)
    if (service !== undefined && runner !== undefined) service.runners.addGrant(runner, grant)
  }

  /** Removes a grant and frees its slot; returns the runner, or undefined when it no longer exists. */
  release (grant: ActiveGrant): Runner | undefined {
    this.byId.delete(grant.id)
    return this.findServiceOfRunner(grant.runner)?.runners.removeGrant(grant)
  }

  findServiceOfRunner (runner: string): Service | undefined {
    for (const service of this.services.values()) {
      if (service.runners.get(runner) !== undefined) return service
    }
    return undefined
  }

  /** Number of slots in use on a runner; 0 when the runner is not known. */
  countInFlight (runner: string): number {
    return this.findServiceOfRunner(runner)?.runners.get(runner)?.grantsBySlot.size ?? 0
  }
}
