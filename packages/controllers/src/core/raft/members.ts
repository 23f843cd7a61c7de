/**
 * Membership: its encoding in a log entry, lookups and quorum arithmetic.
 */

import type { Member } from '../../types/raft.js'

export function encodeMembers (members: readonly Member[]): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(members))
}

export function decodeMembers (data: Uint8Array): Member[] {
  return JSON.parse(new TextDecoder().decode(data)) as Member[]
}

export function isVoter (member: Member): boolean {
  return member.role === 'voter'
}

export function findMember (members: readonly Member[], id: string): Member | undefined {
  return members.find(member => member.id === id)
}

/** Size of a majority of the voters; any two majorities share at least one voter. */
export function quorumSize (voters: number): number {
  return Math.floor(voters / 2) + 1
}

/** Highest value that a quorum has reached, given one value per voter; undefined for no voters. */
export function highestQuorumValue (values: number[]): number {
  const descending = [...values].sort((a, b) => b - a)
  return descending[quorumSize(values.length) - 1]
}
