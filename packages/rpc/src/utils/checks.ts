/**
 * Rules on the fields of messages. A check never throws: it adds its findings to a report,
 * so that one refusal names every invalid field.
 */

import type { DescEnum } from '@bufbuild/protobuf'
import type { Check, Violation } from '../types/violation.js'

/** Longest excerpt of a value in a violation. */
const MAX_SHOWN_CHARACTERS = 60

/** Names of workloads, teams, targets, VMs and similar things. */
const NAME = /^[A-Za-z0-9](?:[A-Za-z0-9._:@-]{0,126}[A-Za-z0-9])?$/
/** Printable ASCII characters without the space. */
const IDENTIFIER = /^[\x21-\x7e]{1,128}$/
const ADDRESS = /^(?:\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/
const MAX_PORT = 65_535

/** Checks the named fields of a message; fields without a check accept any value. */
export function fields<T extends object> (checks: { [K in keyof T]?: Check<NonNullable<T[K]>> | Check<T[K]> }): Check<T> {
  const entries = Object.entries(checks) as [keyof T & string, Check<unknown>][]
  return (message, path, report) => {
    for (const [name, check] of entries) check(message[name], join(path, name), report)
  }
}

/** A message that must be present. */
export function required<T> (check: Check<T>): Check<T | undefined> {
  return (value, path, report) => {
    if (value === undefined) report.push({ path, expected: 'a value', found: 'nothing' })
    else check(value, path, report)
  }
}

/** A message that may be absent, or a text that may be empty. */
export function optional<T> (check: Check<T>): Check<T | undefined> {
  return (value, path, report) => {
    if (value !== undefined && value !== '') check(value, path, report)
  }
}

/** 1 to 128 letters, digits and `. _ : @ -`, with a letter or digit at both ends. */
export function name (): Check<string> {
  return matching(NAME, '1 to 128 letters, digits or . _ : @ -')
}

/** 1 to 128 printable characters without spaces. */
export function identifier (): Check<string> {
  return matching(IDENTIFIER, '1 to 128 printable characters without spaces')
}

/** A text of at most `maxLength` characters. */
export function text (maxLength: number): Check<string> {
  return (value, path, report) => {
    if (value.length > maxLength) report.push({ path, expected: `at most ${maxLength} characters`, found: `${value.length}` })
  }
}

/** An address of the form host:port, with a port from 1 to 65535. */
export function address (): Check<string> {
  return (value, path, report) => {
    const port = Number(ADDRESS.exec(value)?.[1] ?? 0)
    if (port < 1 || port > MAX_PORT) report.push({ path, expected: 'host:port', found: formatExcerpt(value) })
  }
}

/** A number from `min` to `max`, both included. */
export function integer (min: number, max = Number.MAX_SAFE_INTEGER): Check<number | bigint> {
  return (value, path, report) => {
    if (value < min || value > max) report.push({ path, expected: `${min} to ${max}`, found: String(value) })
  }
}

/** An enum value other than the unspecified one. */
export function choice (schema: DescEnum): Check<number> {
  const names = schema.values.filter(value => value.number !== 0).map(value => value.name).join(', ')
  return (value, path, report) => {
    if (value === 0) report.push({ path, expected: `one of ${names}`, found: 'nothing' })
  }
}

/** One of the given texts. */
export function oneOf (values: readonly string[]): Check<string> {
  return (value, path, report) => {
    if (!values.includes(value)) report.push({ path, expected: `one of ${values.join(', ')}`, found: formatExcerpt(value) })
  }
}

/** At most `max` bytes. */
export function bytes (max: number): Check<Uint8Array> {
  return (value, path, report) => {
    if (value.length > max) report.push({ path, expected: `at most ${max} bytes`, found: `${value.length} bytes` })
  }
}

/** A list of at most `max` items, each of which must pass a check. */
export function each<T> (check: Check<T>, max: number): Check<T[]> {
  return (items, path, report) => {
    if (items.length > max) {
      report.push({ path, expected: `at most ${max} items`, found: `${items.length}` })
      return
    }
    items.forEach((item, index) => { check(item, `${path}[${index}]`, report) })
  }
}

/** Labels: at most `max` pairs of a name and a text of at most `maxLength` characters. */
export function labels (max: number, maxLength: number): Check<Record<string, string>> {
  const checkName = name()
  const checkText = text(maxLength)
  return (pairs, path, report) => {
    const keys = Object.keys(pairs)
    if (keys.length > max) report.push({ path, expected: `at most ${max} labels`, found: `${keys.length}` })
    for (const key of keys.slice(0, max)) {
      checkName(key, `${path}.${formatExcerpt(key)}`, report)
      checkText(pairs[key], `${path}.${key}`, report)
    }
  }
}

/** The text of one JSON object of at most `maxLength` characters. */
export function jsonObject (maxLength: number): Check<string> {
  return (value, path, report) => {
    if (value.length > maxLength) {
      report.push({ path, expected: `at most ${maxLength} characters`, found: `${value.length}` })
    } else if (!isJsonObject(value)) {
      report.push({ path, expected: 'a JSON object', found: formatExcerpt(value) })
    }
  }
}

/** All of the checks, in order. */
export function all<T> (...checks: Check<T>[]): Check<T> {
  return (value, path, report) => {
    for (const check of checks) check(value, path, report)
  }
}

/** A rule over several fields: reports `expected` for the given field when the message breaks the rule. */
export function rule<T> (field: string, expected: string, isMet: (message: T) => boolean): Check<T> {
  return (message, path, report) => {
    if (!isMet(message)) report.push({ path: join(path, field), expected, found: 'a value that breaks this rule' })
  }
}

/** Exactly one of the named fields must be set. */
export function oneOfFields<T extends object> (names: readonly (keyof T & string)[]): Check<T> {
  return (message, path, report) => {
    const setFields = names.filter(each => isSet(message[each]))
    if (setFields.length === 1) return
    report.push({ path: join(path, names[0]), expected: `exactly one of ${names.join(', ')}`, found: setFields.join(', ') || 'none' })
  }
}

/** Accepts every value. */
export function anything (): Check<unknown> {
  return () => {}
}

function join (path: string, field: string): string {
  return path === '' ? field : `${path}.${field}`
}

function isSet (value: unknown): boolean {
  if (value === undefined || value === '') return false
  return typeof value !== 'object' || value === null || '$typeName' in value || Object.keys(value).length > 0
}

function matching (pattern: RegExp, expected: string): Check<string> {
  return (value: string, path: string, report: Violation[]) => {
    if (!pattern.test(value)) report.push({ path, expected, found: value === '' ? 'nothing' : formatExcerpt(value) })
  }
}

function isJsonObject (value: string): boolean {
  try {
    const parsed: unknown = JSON.parse(value)
    return typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed)
  } catch {
    return false
  }
}

function formatExcerpt (value: string): string {
  const short = value.length > MAX_SHOWN_CHARACTERS ? `${value.slice(0, MAX_SHOWN_CHARACTERS)}…` : value
  return JSON.stringify(short)
}
