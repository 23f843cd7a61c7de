/**
 * Rules over several values of the settings, which a schema cannot hold.
 */

import { isLoopback } from '@flamingorouter/rpc'
import type { Issue } from '../types/issue.js'
import type { ControllerAddress, Settings } from '../types/settings.js'

const MAX_PORT = 65_535
const MIN_BEATS_PER_ELECTION = 3
const MIN_RENEWALS_PER_LEASE = 2

/** What keeps the process from starting. */
export function findConflicts (settings: Settings): Issue[] {
  return [
    ...findRoleConflicts(settings),
    ...findAddressConflicts(settings),
    ...findMemberConflicts(settings),
    ...findTimeConflicts(settings),
    ...findExposure(settings)
  ]
}

/** What works, but does not survive what the system should survive. */
export function findWarnings ({ controllers }: Settings): Issue[] {
  const warnings: Issue[] = []
  if (controllers.length % 2 === 0 && controllers.length > 0) {
    warnings.push({ path: 'controllers', expected: 'an odd number of controllers', found: String(controllers.length) })
  }
  if (controllers.length > 0 && controllers.length < 3) {
    warnings.push({ path: 'controllers', expected: '3 or more, so that the loss of one does not stop the cell', found: String(controllers.length) })
  }
  for (const [zone, count] of countZones(controllers)) {
    if (controllers.length < 3 || count * 2 <= controllers.length) continue
    warnings.push({ path: 'controllers', expected: 'no availability zone with a majority', found: `${count} of ${controllers.length} in ${zone}` })
  }
  return warnings
}

function findRoleConflicts (settings: Settings): Issue[] {
  const issues: Issue[] = []
  if (settings.controller === undefined && settings.entry === undefined) {
    issues.push({ path: 'controller', expected: 'the controller role, the entry role, or both', found: 'neither' })
  }
  if (settings.controllers.length === 0) {
    issues.push({ path: 'controllers', expected: 'one controller at least', found: '[]' })
  }
  if (settings.observe !== undefined && settings.entry !== undefined) {
    issues.push({ path: 'observe', expected: 'no such port beside the entry role, whose port has the same pages', found: settings.observe.listen })
  }
  return issues
}

function findAddressConflicts (settings: Settings): Issue[] {
  const addresses: [string, string | undefined][] = [
    ['controller.listen', settings.controller?.listen],
    ['entry.listen', settings.entry?.listen],
    ['observe.listen', settings.observe?.listen],
    ...settings.controllers.map(({ address }, index): [string, string] => [`controllers[${index}].address`, address])
  ]
  const issues: Issue[] = []
  for (const [path, address] of addresses) {
    if (address === undefined || portOf(address) <= MAX_PORT) continue
    issues.push({ path, expected: `a port up to ${MAX_PORT}`, found: address })
  }
  return issues
}

function findMemberConflicts (settings: Settings): Issue[] {
  const issues: Issue[] = []
  const ids = new Set<string>()
  const addresses = new Set<string>()
  settings.controllers.forEach(({ id, address, availabilityZone }, index) => {
    const at = `controllers[${index}]`
    if (ids.has(id)) issues.push({ path: `${at}.id`, expected: 'an id that no other has', found: id })
    if (addresses.has(address)) issues.push({ path: `${at}.address`, expected: 'an address that no other has', found: address })
    ids.add(id)
    addresses.add(address)
    if (id === settings.process && availabilityZone !== settings.availabilityZone) {
      issues.push({ path: `${at}.availabilityZone`, expected: `${settings.availabilityZone}, as for this process`, found: availabilityZone })
    }
  })
  if (settings.controller === undefined && ids.has(settings.process)) {
    issues.push({ path: 'controller', expected: 'the controller role, since this process is among the controllers', found: 'nothing' })
  }
  return issues
}

function findTimeConflicts ({ timing, limits }: Settings): Issue[] {
  const issues: Issue[] = []
  const least = timing.heartbeatMs * MIN_BEATS_PER_ELECTION
  if (timing.electionMs < least) {
    issues.push({ path: 'timing.electionMs', expected: `${least} or more, ${MIN_BEATS_PER_ELECTION} times heartbeatMs`, found: String(timing.electionMs) })
  }
  if (timing.driftMs * 2 > timing.electionMs) {
    issues.push({ path: 'timing.driftMs', expected: `at most ${timing.electionMs / 2}, half of electionMs`, found: String(timing.driftMs) })
  }
  if (limits.renewEveryMs * MIN_RENEWALS_PER_LEASE > limits.leaseMs) {
    issues.push({ path: 'limits.renewEveryMs', expected: `at most ${limits.leaseMs / MIN_RENEWALS_PER_LEASE}, half of leaseMs`, found: String(limits.renewEveryMs) })
  }
  if (limits.backoffMaxMs < limits.backoffBaseMs) {
    issues.push({ path: 'limits.backoffMaxMs', expected: `${limits.backoffBaseMs} or more, as backoffBaseMs`, found: String(limits.backoffMaxMs) })
  }
  return issues
}

/** Ports without TLS stay on the loopback interface unless the settings say otherwise. */
function findExposure (settings: Settings): Issue[] {
  if (settings.allowPlaintext) return []
  const ports: [string, string | undefined][] = [
    ['controller.listen', settings.peerTls === undefined ? settings.controller?.listen : undefined],
    ['observe.listen', settings.observe?.listen],
    ['entry.listen', settings.tls === undefined ? settings.entry?.listen : undefined]
  ]
  const issues: Issue[] = []
  for (const [path, address] of ports) {
    if (address === undefined || isLoopback(hostOf(address))) continue
    issues.push({ path, expected: 'a loopback address, or allowPlaintext, since this port has no TLS', found: address })
  }
  return issues
}

function countZones (controllers: readonly ControllerAddress[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { availabilityZone } of controllers) counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1)
  return counts
}

function portOf (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}

function hostOf (address: string): string {
  const host = address.slice(0, address.lastIndexOf(':'))
  return host === 'localhost' ? '127.0.0.1' : host.replace(/^\[|\]$/g, '')
}
