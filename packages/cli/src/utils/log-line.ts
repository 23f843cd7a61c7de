/**
 * A record of the log as one line of key=value pairs. Values that hold more than
 * plain characters are quoted and escaped, so that nothing a caller sends can end
 * the line or look like another pair.
 */

import bunyan from 'bunyan'

/** Longest value in characters; the rest is cut. */
const MAX_VALUE_LENGTH = 2_000

const PLAIN_VALUE = /^[A-Za-z0-9._:/@+,-]+$/
const ODD_KEY_CHARACTERS = /[^A-Za-z0-9_]/g
/** Ends of lines and hidden characters that JSON leaves as they are. */
const ODD_CHARACTERS = /[\p{Cc}\p{Cf}\p{Zl}\p{Zp}]/gu

/** Members of a record of bunyan that are written under other names or not at all. */
const OWN_MEMBERS: ReadonlySet<string> = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v'])

/** Formats a record without the end of its line. */
export function formatRecord (record: Readonly<Record<string, unknown>>): string {
  const pairs = [
    `time=${(record.time as Date).toISOString()}`,
    `level=${bunyan.nameFromLevel[record.level as number]}`,
    `process=${formatValue(record.name)}`,
    `event=${formatValue(record.msg)}`
  ]
  for (const [key, value] of Object.entries(record)) {
    if (!OWN_MEMBERS.has(key)) pairs.push(`${key.replace(ODD_KEY_CHARACTERS, '_')}=${formatValue(value)}`)
  }
  return pairs.join(' ')
}

function formatValue (value: unknown): string {
  const text = typeof value === 'object' && value !== null ? JSON.stringify(value) : String(value)
  const short = text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text
  return PLAIN_VALUE.test(short) ? short : JSON.stringify(short).replace(ODD_CHARACTERS, escape)
}

function escape (character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}
