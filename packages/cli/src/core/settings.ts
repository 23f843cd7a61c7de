/**
 * Reads and checks the settings file of a process. Every error names the path,
 * the value and what was expected, and all errors are told at once.
 */

import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { Ajv, type ErrorObject } from 'ajv'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import schema from '../../settings.schema.json'
import type { CheckedSettings, Settings, SettingsIssue } from '../types/settings.js'
import { findConflicts, findWarnings } from './settings-rules.js'

const SHOWN_CHARACTERS = 80

/** Reads a file and checks it; paths in the result are absolute. */
export function readSettings (file: string): CheckedSettings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return refuse('', 'a readable file', error instanceof Error ? error.message : String(error))
  }
  let parsed: unknown
  try {
    parsed = JSON.parse(text)
  } catch (error) {
    return refuse('', 'JSON', error instanceof Error ? error.message : String(error))
  }
  const checked = checkSettings(parsed)
  if (checked.settings !== undefined) resolvePaths(checked.settings, dirname(resolve(file)))
  return checked
}

/** Checks parsed settings and fills in defaults. */
export function checkSettings (parsed: unknown): CheckedSettings {
  const settings = structuredClone(parsed) as Settings & { $schema?: string }
  const validate = new Ajv({ allErrors: true, verbose: true, useDefaults: true }).compile(schema)
  const errors = validate(settings) ? [] : (validate.errors ?? []).map(describe)
  if (errors.length > 0) return { errors, warnings: [] }
  delete settings.$schema
  errors.push(...findConflicts(settings))
  if (errors.length > 0) return { errors, warnings: [] }
  return { settings, errors, warnings: findWarnings(settings) }
}

/** The settings of a file, or a Failure of kind invalidArgument that tells every error. */
export function loadSettings (file: string): Settings {
  const { settings, errors } = readSettings(file)
  if (settings !== undefined) return settings
  fail(ErrorKind.invalidArgument, `${file}:\n${errors.map(formatIssue).join('\n')}`)
}

export function formatIssue (issue: SettingsIssue): string {
  const path = issue.path === '' ? 'the file' : issue.path
  return `  ${path}: expected ${issue.expected}, found ${issue.found}`
}

function refuse (path: string, expected: string, found: string): CheckedSettings {
  return { errors: [{ path, expected, found }], warnings: [] }
}

function describe (error: ErrorObject): SettingsIssue {
  const at = formatPath(error.instancePath)
  const known = error.parentSchema as { properties?: Record<string, { description?: string }>, description?: string }
  switch (error.keyword) {
    case 'required': {
      const { missingProperty } = error.params as { missingProperty: string }
      const about = known.properties?.[missingProperty]?.description ?? 'a value'
      return { path: join(at, missingProperty), expected: `a value (${about})`, found: 'nothing' }
    }
    case 'additionalProperties': {
      const { additionalProperty } = error.params as { additionalProperty: string }
      const names = Object.keys(known.properties ?? {}).join(', ')
      const value = (error.data as Record<string, unknown>)[additionalProperty]
      return { path: join(at, additionalProperty), expected: `one of the names ${names}`, found: `this name with ${show(value)}` }
    }
    case 'type': return { path: at, expected: `${String(error.params.type)}${about(known)}`, found: show(error.data) }
    case 'enum': return { path: at, expected: `one of ${(error.params.allowedValues as unknown[]).map(String).join(', ')}`, found: show(error.data) }
    case 'pattern': return { path: at, expected: `text that matches ${String(error.params.pattern)}${about(known)}`, found: show(error.data) }
    default: return { path: at, expected: (error.message ?? error.keyword).replace(/^must (?:be )?/, ''), found: show(error.data) }
  }
}

function about (known: { description?: string }): string {
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

function resolvePaths (settings: Settings, folder: string): void {
  const { controller, tls, tokens } = settings
  if (controller !== undefined) controller.dataFolder = resolve(folder, controller.dataFolder)
  if (tokens !== undefined) settings.tokens = resolve(folder, tokens)
  if (tls === undefined) return
  tls.certificate = resolve(folder, tls.certificate)
  tls.key = resolve(folder, tls.key)
  if (tls.authority !== undefined) tls.authority = resolve(folder, tls.authority)
}
