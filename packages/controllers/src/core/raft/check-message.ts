/**
 * Validates the shape of a message before it is processed, so that a malformed
 * message is refused without any effect.
 */

import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { Message } from '../../types/raft.js'

type FieldCheck = (value: unknown) => boolean
type Fields = Readonly<Record<string, FieldCheck>>

const isText: FieldCheck = value => typeof value === 'string'
const isFlag: FieldCheck = value => typeof value === 'boolean'
const isCount: FieldCheck = value => Number.isSafeInteger(value) && (value as number) >= 0
const isTime: FieldCheck = value => Number.isFinite(value)
const isBytes: FieldCheck = value => value instanceof Uint8Array
const isTextRecord: FieldCheck = value => isRecord(value) && Object.values(value).every(isText)

const ENVELOPE_FIELDS: Fields = Object.freeze({ term: isCount, disk: isText, toDisk: isText })
const ENTRY_FIELDS: Fields = Object.freeze({ index: isCount, term: isCount, kind: isCount, data: isBytes })
const MEMBER_FIELDS: Fields = Object.freeze({
  id: isText, disk: isText, address: isText, availabilityZone: isText, role: isText
})

const isMembers: FieldCheck = value => Array.isArray(value) && value.every(member => hasFields(member, MEMBER_FIELDS))

const FIELDS_BY_KIND: Readonly<Record<Message['kind'], Fields>> = Object.freeze({
  voteRequest: { pre: isFlag, transfer: isFlag, lastIndex: isCount, lastTerm: isCount },
  voteAnswer: { pre: isFlag, granted: isFlag },
  appendRequest: {
    previousIndex: isCount, previousTerm: isCount, entries: isEntries, commitIndex: isCount, sentAt: isTime
  },
  appendAnswer: { accepted: isFlag, index: isCount, refusedIndex: isCount, sentAt: isTime },
  snapshotRequest: {
    index: isCount,
    lastTerm: isCount,
    members: isMembers,
    offset: isCount,
    totalBytes: isCount,
    data: isBytes,
    sentAt: isTime
  },
  snapshotAnswer: { index: isCount, offset: isCount, sentAt: isTime },
  timeoutNow: {},
  greeting: { formed: isFlag, disks: isTextRecord }
})

/** Returns the value as a message; throws invalidArgument if it is malformed. */
export function checkMessage (value: unknown): Message {
  const kind = isRecord(value) ? value.kind : undefined
  const fields = typeof kind === 'string' && Object.hasOwn(FIELDS_BY_KIND, kind) ? FIELDS_BY_KIND[kind as Message['kind']] : undefined
  if (fields === undefined || !hasFields(value, ENVELOPE_FIELDS) || !hasFields(value, fields)) {
    fail(ErrorKind.invalidArgument, `malformed replication message${typeof kind === 'string' ? ` ${kind.slice(0, 20)}` : ''}`)
  }
  const message = value as Message
  if (message.kind === 'appendRequest' && !isConsecutive(message.previousIndex, message.entries)) {
    fail(ErrorKind.invalidArgument, 'the entries of a replication message are not consecutive')
  }
  return message
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}

function hasFields (value: unknown, fields: Fields): boolean {
  if (!isRecord(value)) return false
  for (const name of Object.keys(fields)) {
    if (!fields[name](value[name])) return false
  }
  return true
}

function isEntries (value: unknown): boolean {
  return Array.isArray(value) && value.every(entry => hasFields(entry, ENTRY_FIELDS))
}

function isConsecutive (previousIndex: number, entries: ReadonlyArray<{ index: number }>): boolean {
  return entries.every((entry, position) => entry.index === previousIndex + 1 + position)
}
