/**
 * Rules that relate several values of the settings, which the JSON schema cannot express.
 */

import { isLoopback } from '@flamingorouter/rpc'
import type { Issue } from '../types/issue.js'
import type { ControllerAddress, Settings } from '../types/settings.js'

const MAX_PORT = 65_535
const MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3
const MIN_RENEWAL_INTERVALS_PER_LEASE = 2

/** Returns the errors that prevent the process from starting. */
export function findConflicts (settings: Settings): Issue[] {
  return [
    ...findRoleConflicts(settings),
    ...findAddressConflicts(settings),
    ...findMemberConflicts(settings),
    ...findTimingConflicts(settings),
    ...findExposedPorts(settings)
  ]
}

/** Returns the settings that work, but weaken the fault tolerance that the system is designed for. */
export function findWarnings ({ controllers }: Settings): Issue[] {
  const warnings: Issue[] = []
  if (controllers.length % 2 === 0 && controllers.length > 0) {
    warnings.push({ path: 'controllers', expected: 'an odd number of controllers', found: String(controllers.length) })
  }
  if (controllers.length > 0 && controllers.length < 3) {
    warnings.push({ path: 'controllers', expected: '3 or more, so that the cell survives the loss of one', found: String(controllers.length) })
  }
  for (const [zone, count] of countControllersByZone(controllers)) {
    if (controllers.length < 3 || count * 2 <= controllers.length) continue
    warnings.push({ path: 'controllers', expected: 'no availability zone with a majority of the controllers', found: `${count} of ${controllers.length} in ${zone}` })
  }
  return warnings
}

function findRoleConflicts (settings: Settings): Issue[] {
  const issues: Issue[] = []
  if (settings.controller === undefined && settings.entry === undefined) {
    issues.push({ path: 'controller', expected: 'the controller role, the entry role, or both', found: 'neither' })
  }
  if (settings.controllers.length === 0) {
    issues.push({ path: 'controllers', expected: 'at least one controller', found: '[]' })
  }
  if (settings.observe !== undefined && settings.entry !== undefined) {
    issues.push({ path: 'observe', expected: 'no observe port together with the entry role, whose port serves the same pages', found: settings.observe.listen })
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
    if (address === undefined || parsePort(address) <= MAX_PORT) continue
    issues.push({ path, expected: `a port up to ${MAX_PORT}`, found: address })
  }
  return issues
}

function findMemberConflicts (settings: Settings): Issue[] {
  const issues: Issue[] = []
  const ids = new Set<string>()
  const addresses = new Set<string>()
  settings.controllers.forEach(({ id, address, availabilityZone }, index) => {
    const memberPath = `controllers[${index}]`
    if (ids.has(id)) issues.push({ path: `${memberPath}.id`, expected: 'an id that no other controller has', found: id })
    if (addresses.has(address)) issues.push({ path: `${memberPath}.address`, expected: 'an address that no other controller has', found: address })
    ids.add(id)
    addresses.add(address)
    if (id === settings.process && availabilityZone !== settings.availabilityZone) {
      issues.push({ path: `${memberPath}.availabilityZone`, expected: `${settings.availabilityZone}, as for this process`, found: availabilityZone })
    }
  })
  if (settings.controller === undefined && ids.has(settings.process)) {
    issues.push({ path: 'controller', expected: 'the controller role, since this process is among the controllers', found: 'nothing' })
  }
  return issues
}

function findTimingConflicts ({ timing, limits }: Settings): Issue[] {
  const issues: Issue[] = []
  const minElectionMs = timing.heartbeatMs * MIN_HEARTBEATS_PER_ELECTION_TIMEOUT
  if (timing.electionMs < minElectionMs) {
    issues.push({ path: 'timing.electionMs', expected: `${minElectionMs} or more, ${MIN_HEARTBEATS_PER_ELECTION_TIMEOUT} times heartbeatMs`, found: String(timing.electionMs) })
  }
  if (timing.driftMs * 2 > timing.electionMs) {
    issues.push({ path: 'timing.driftMs', expected: `at most ${timing.electionMs / 2}, half of electionMs`, found: String(timing.driftMs) })
  }
  if (limits.renewEveryMs * MIN_RENEWAL_INTERVALS_PER_LEASE > limits.leaseMs) {
    issues.push({ path: 'limits.renewEveryMs', expected: `at most ${limits.leaseMs / MIN_RENEWAL_INTERVALS_PER_LEASE}, half of leaseMs`, found: String(limits.renewEveryMs) })
  }
  if (limits.backoffMaxMs < limits.backoffBaseMs) {
    issues.push({ path: 'limits.backoffMaxMs', expected: `${limits.backoffBaseMs} or more, the value of backoffBaseMs`, found: String(limits.backoffMaxMs) })
  }
  return issues
}

/** Ports without TLS must listen on the loopback interface unless allowPlaintext is set. */
function findExposedPorts (settings: Settings): Issue[] {
  if (settings.allowPlaintext) return []
  const ports: [string, string | undefined][] = [
    ['controller.listen', settings.peerTls === undefined ? settings.controller?.listen : undefined],
    ['observe.listen', settings.observe?.listen],
    ['entry.listen', settings.tls === undefined ? settings.entry?.listen : undefined]
  ]
  const issues: Issue[] = []
  for (const [path, address] of ports) {
    if (address === undefined || isLoopback(parseHost(address))) continue
    issues.push({ path, expected: 'a loopback address, or allowPlaintext, since this port has no TLS', found: address })
  }
  return issues
}

function countControllersByZone (controllers: readonly ControllerAddress[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { availabilityZone } of controllers) counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1)
  return counts
}

function parsePort (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}

function parseHost (address: string): string {
  const host = address.slice(0, address.lastIndexOf(':'))
  return host === 'localhost' ? '127.0.0.1' : host.replace(/^\[|\]$/g, '')
}
