/**
 * Formats a log record as one line of key=value pairs. Values with other than plain
 * characters are quoted and escaped, so that text sent by a caller can neither end
 * the line nor pass for another pair.
 */

import bunyan from 'bunyan'

/** Longer values are truncated to this number of characters. */
const MAX_VALUE_LENGTH = 2_000

const PLAIN_VALUE = /^[A-Za-z0-9._:/@+,-]+$/
const INVALID_KEY_CHARACTERS = /[^A-Za-z0-9_]/g
/** Line terminators and invisible characters, some of which JSON does not escape. */
const UNSAFE_CHARACTERS = /[\p{Cc}\p{Cf}\p{Zl}\p{Zp}]/gu

/** Fields of a bunyan record that are written under other names or not at all. */
const BUNYAN_FIELDS: ReadonlySet<string> = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v'])

/** Returns the line without a line terminator. */
export function formatLogLine (record: Readonly<Record<string, unknown>>): string {
  const pairs = [
    `time=${(record.time as Date).toISOString()}`,
    `level=${bunyan.nameFromLevel[record.level as number]}`,
    `process=${formatValue(record.name)}`,
    `event=${formatValue(record.msg)}`
  ]
  for (const [key, value] of Object.entries(record)) {
    if (!BUNYAN_FIELDS.has(key)) pairs.push(`${key.replace(INVALID_KEY_CHARACTERS, '_')}=${formatValue(value)}`)
  }
  return pairs.join(' ')
}

function formatValue (value: unknown): string {
  const text = typeof value === 'object' && value !== null ? JSON.stringify(value) : String(value)
  const truncated = text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text
  return PLAIN_VALUE.test(truncated) ? truncated : JSON.stringify(truncated).replace(UNSAFE_CHARACTERS, escapeCharacter)
}

function escapeCharacter (character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}
