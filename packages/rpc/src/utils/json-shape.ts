/**
 * Finds every place where a JSON value does not match a message of the schema. The decoder
 * stops at the first such place, so this search runs after the decoder has refused a value.
 */

import { ScalarType, type DescEnum, type DescField, type DescMessage } from '@bufbuild/protobuf'
import type { Violation } from '../types/violation.js'

/** Longest excerpt of a value in a violation. */
const MAX_SHOWN_CHARACTERS = 60
/** Number of violations after which the search stops. */
const MAX_VIOLATIONS = 50

const MAX_UINT32 = 0xffff_ffffn
const MAX_UINT64 = 0xffff_ffff_ffff_ffffn
const BASE64 = /^[A-Za-z0-9+/_-]*={0,2}$/
const WHOLE_NUMBER = /^-?\d{1,20}$/

/** Returns at most MAX_VIOLATIONS violations; may find none, since the decoder checks more than this search does. */
export function findShapeViolations (schema: DescMessage, json: unknown): Violation[] {
  const report: Violation[] = []
  checkMessage(schema, json, '', report)
  return report.slice(0, MAX_VIOLATIONS)
}

function checkMessage (schema: DescMessage, json: unknown, path: string, report: Violation[]): void {
  if (!isObject(json)) {
    report.push({ path: path === '' ? schema.name : path, expected: 'an object', found: formatExcerpt(json) })
    return
  }
  const fields = new Map(schema.fields.flatMap(field => [[field.jsonName, field], [field.name, field]]))
  for (const [key, value] of Object.entries(json)) {
    if (report.length >= MAX_VIOLATIONS) return
    const fieldPath = path === '' ? key : `${path}.${key}`
    const field = fields.get(key)
    if (field === undefined) {
      const names = schema.fields.map(({ jsonName }) => jsonName).join(', ')
      report.push({ path: fieldPath, expected: `one of the fields ${names}`, found: 'an unknown field' })
    } else if (value !== null) {
      checkField(field, value, fieldPath, report)
    }
  }
}

function checkField (field: DescField, value: unknown, path: string, report: Violation[]): void {
  switch (field.fieldKind) {
    case 'message': return checkMessage(field.message, value, path, report)
    case 'enum': return checkEnum(field.enum, value, path, report)
    case 'scalar': return checkScalar(field.scalar, value, path, report)
    case 'list': return checkList(field, value, path, report)
    case 'map': return checkMap(value, path, report)
  }
}

function checkList (field: DescField & { fieldKind: 'list' }, value: unknown, path: string, report: Violation[]): void {
  if (!Array.isArray(value)) {
    report.push({ path, expected: 'a list', found: formatExcerpt(value) })
    return
  }
  for (const [index, item] of value.entries()) {
    if (report.length >= MAX_VIOLATIONS) return
    const itemPath = `${path}[${index}]`
    if (field.listKind === 'message') checkMessage(field.message, item, itemPath, report)
    else if (field.listKind === 'enum') checkEnum(field.enum, item, itemPath, report)
    else checkScalar(field.scalar, item, itemPath, report)
  }
}

/** All maps of the schema have text as keys and values. */
function checkMap (value: unknown, path: string, report: Violation[]): void {
  if (!isObject(value)) {
    report.push({ path, expected: 'an object', found: formatExcerpt(value) })
    return
  }
  for (const [key, item] of Object.entries(value)) {
    if (typeof item !== 'string') report.push({ path: `${path}.${key}`, expected: 'text', found: formatExcerpt(item) })
  }
}

function checkEnum (schema: DescEnum, value: unknown, path: string, report: Violation[]): void {
  if (typeof value === 'number' && schema.value[value] !== undefined) return
  const names = schema.values.map(({ name }) => name)
  if (typeof value === 'string' && names.includes(value)) return
  report.push({ path, expected: `one of ${names.slice(1).join(', ')}`, found: formatExcerpt(value) })
}

function checkScalar (scalar: ScalarType, value: unknown, path: string, report: Violation[]): void {
  const expected = describeExpected(scalar, value)
  if (expected !== '') report.push({ path, expected, found: formatExcerpt(value) })
}

/** Describes the expected value, or returns an empty text when the value matches. */
function describeExpected (scalar: ScalarType, value: unknown): string {
  switch (scalar) {
    case ScalarType.STRING: return typeof value === 'string' ? '' : 'text'
    case ScalarType.BOOL: return typeof value === 'boolean' ? '' : 'true or false'
    case ScalarType.BYTES: return typeof value === 'string' && BASE64.test(value) ? '' : 'text in base64'
    case ScalarType.UINT32: return isWithin(value, MAX_UINT32) ? '' : `a whole number from 0 to ${MAX_UINT32}`
    case ScalarType.UINT64: return isWithin(value, MAX_UINT64) ? '' : `a whole number from 0 to ${MAX_UINT64}`
    default: return typeof value === 'number' || typeof value === 'string' ? '' : 'a number'
  }
}

function isWithin (value: unknown, max: bigint): boolean {
  const isWhole = typeof value === 'number' ? Number.isInteger(value) : typeof value === 'string' && WHOLE_NUMBER.test(value)
  if (!isWhole) return false
  const number = BigInt(value as number | string)
  return number >= 0n && number <= max
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function formatExcerpt (value: unknown): string {
  if (isObject(value)) return 'an object'
  if (Array.isArray(value)) return 'a list'
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}…` : text
}
