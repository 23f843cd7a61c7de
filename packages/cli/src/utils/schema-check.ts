/**
 * Checks JSON against a schema, and tells every error with its path, what was
 * expected and what was found.
 */

import { Ajv, type ErrorObject, type SchemaObject } from 'ajv'
import type { Issue } from '../types/issue.js'

const SHOWN_CHARACTERS = 80

/** The errors of a value; fills in defaults where there are none. */
export function checkBySchema (schema: SchemaObject, value: unknown): Issue[] {
  const validate = new Ajv({ allErrors: true, verbose: true, useDefaults: true }).compile(schema)
  return validate(value) ? [] : (validate.errors ?? []).map(describe)
}

export function formatIssue (issue: Issue): string {
  const path = issue.path === '' ? 'the file' : issue.path
  return `  ${path}: expected ${issue.expected}, found ${issue.found}`
}

function describe (error: ErrorObject): Issue {
  const at = formatPath(error.instancePath)
  const known = error.parentSchema as { properties?: Record<string, { description?: string }>, description?: string }
  switch (error.keyword) {
    case 'required': {
      const { missingProperty } = error.params as { missingProperty: string }
      const meaning = known.properties?.[missingProperty]?.description ?? 'a value'
      return { path: join(at, missingProperty), expected: `a value (${meaning})`, found: 'nothing' }
    }
    case 'additionalProperties': {
      const { additionalProperty } = error.params as { additionalProperty: string }
      const names = Object.keys(known.properties ?? {}).join(', ')
      const value = (error.data as Record<string, unknown>)[additionalProperty]
      return { path: join(at, additionalProperty), expected: `one of the names ${names}`, found: `this name with ${show(value)}` }
    }
    case 'type': return { path: at, expected: `${String(error.params.type)}${meaningOf(known)}`, found: show(error.data) }
    case 'enum': return { path: at, expected: `one of ${(error.params.allowedValues as unknown[]).map(String).join(', ')}`, found: show(error.data) }
    case 'pattern': return { path: at, expected: `text that matches ${String(error.params.pattern)}${meaningOf(known)}`, found: show(error.data) }
    default: return { path: at, expected: (error.message ?? error.keyword).replace(/^must (?:be )?/, ''), found: show(error.data) }
  }
}

function meaningOf (known: { description?: string }): string {
  return known.description === undefined ? '' : ` (${known.description})`
}

/** From /controllers/2/address to controllers[2].address. */
function formatPath (pointer: string): string {
  let path = ''
  for (const part of pointer.split('/').slice(1)) {
    path = /^\d+$/.test(part) ? `${path}[${part}]` : join(path, part.replaceAll('~1', '/').replaceAll('~0', '~'))
  }
  return path
}

function join (path: string, name: string): string {
  return path === '' ? name : `${path}.${name}`
}

function show (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > SHOWN_CHARACTERS ? `${text.slice(0, SHOWN_CHARACTERS)}…` : text
}
