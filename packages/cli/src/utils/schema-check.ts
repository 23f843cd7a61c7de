/**
 * Validates a value against a JSON schema, and reports every error with its path,
 * what was expected and what was found.
 */

import { Ajv, type ErrorObject, type SchemaObject } from 'ajv'
import type { Issue } from '../types/issue.js'

/** Longest excerpt of a value in an issue. */
const MAX_SHOWN_CHARACTERS = 80

/** Returns the errors of a value; fills in the defaults of missing properties in place. */
export function checkBySchema (schema: SchemaObject, value: unknown): Issue[] {
  const validate = new Ajv({ allErrors: true, verbose: true, useDefaults: true }).compile(schema)
  return validate(value) ? [] : (validate.errors ?? []).map(createIssue)
}

export function formatIssue (issue: Issue): string {
  const path = issue.path === '' ? 'the file' : issue.path
  return `  ${path}: expected ${issue.expected}, found ${issue.found}`
}

function createIssue (error: ErrorObject): Issue {
  const issuePath = formatPath(error.instancePath)
  const parentSchema = error.parentSchema as { properties?: Record<string, { description?: string }>, description?: string }
  switch (error.keyword) {
    case 'required': {
      const { missingProperty } = error.params as { missingProperty: string }
      const description = parentSchema.properties?.[missingProperty]?.description ?? 'a value'
      return { path: joinPath(issuePath, missingProperty), expected: `a value (${description})`, found: 'nothing' }
    }
    case 'additionalProperties': {
      const { additionalProperty } = error.params as { additionalProperty: string }
      const names = Object.keys(parentSchema.properties ?? {}).join(', ')
      const value = (error.data as Record<string, unknown>)[additionalProperty]
      return { path: joinPath(issuePath, additionalProperty), expected: `one of the names ${names}`, found: `this name with ${formatValue(value)}` }
    }
    case 'type': return { path: issuePath, expected: `${String(error.params.type)}${formatDescription(parentSchema)}`, found: formatValue(error.data) }
    case 'enum': return { path: issuePath, expected: `one of ${(error.params.allowedValues as unknown[]).map(String).join(', ')}`, found: formatValue(error.data) }
    case 'pattern': return { path: issuePath, expected: `text that matches ${String(error.params.pattern)}${formatDescription(parentSchema)}`, found: formatValue(error.data) }
    default: return { path: issuePath, expected: (error.message ?? error.keyword).replace(/^must (?:be )?/, ''), found: formatValue(error.data) }
  }
}

function formatDescription (schema: { description?: string }): string {
  return schema.description === undefined ? '' : ` (${schema.description})`
}

/** Converts a JSON pointer such as /controllers/2/address to controllers[2].address. */
function formatPath (pointer: string): string {
  let path = ''
  for (const part of pointer.split('/').slice(1)) {
    path = /^\d+$/.test(part) ? `${path}[${part}]` : joinPath(path, part.replaceAll('~1', '/').replaceAll('~0', '~'))
  }
  return path
}

function joinPath (path: string, name: string): string {
  return path === '' ? name : `${path}.${name}`
}

function formatValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}…` : text
}
