/**
 * Reads and checks the settings file of a process. Every error names the path,
 * the value and what was expected, and all errors are reported together.
 */

import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import schema from '../../settings.schema.json'
import type { CheckedSettings, Settings, TlsFiles } from '../types/settings.js'
import { checkBySchema, formatIssue } from '../utils/schema-check.js'
import { findConflicts, findWarnings } from './settings-rules.js'

/** Reads a file and checks it. Paths in the result are absolute, resolved against the folder of the file. */
export function readSettings (file: string): CheckedSettings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return createReadError('', 'a readable file', error instanceof Error ? error.message : String(error))
  }
  let parsed: unknown
  try {
    parsed = JSON.parse(text)
  } catch (error) {
    return createReadError('', 'JSON', error instanceof Error ? error.message : String(error))
  }
  const checked = checkSettings(parsed)
  if (checked.settings !== undefined) resolvePaths(checked.settings, dirname(resolve(file)))
  return checked
}

/** Checks parsed settings and fills in defaults. */
export function checkSettings (parsed: unknown): CheckedSettings {
  const settings = structuredClone(parsed) as Settings & { $schema?: string }
  const errors = checkBySchema(schema, settings)
  if (errors.length > 0) return { errors, warnings: [] }
  delete settings.$schema
  errors.push(...findConflicts(settings))
  if (errors.length > 0) return { errors, warnings: [] }
  return { settings, errors, warnings: findWarnings(settings) }
}

/** Returns the settings of a file; throws a Failure of kind invalidArgument that lists every error. */
export function loadSettings (file: string): Settings {
  const { settings, errors } = readSettings(file)
  if (settings !== undefined) return settings
  fail(ErrorKind.invalidArgument, `${file}:\n${errors.map(formatIssue).join('\n')}`)
}

function createReadError (path: string, expected: string, found: string): CheckedSettings {
  return { errors: [{ path, expected, found }], warnings: [] }
}

function resolvePaths (settings: Settings, folder: string): void {
  const { controller, tls, peerTls, tokens } = settings
  if (controller !== undefined) controller.dataFolder = resolve(folder, controller.dataFolder)
  if (tokens !== undefined) settings.tokens = resolve(folder, tokens)
  if (tls !== undefined) resolveTlsPaths(tls, folder)
  if (peerTls !== undefined) resolveTlsPaths(peerTls, folder)
}

function resolveTlsPaths (files: TlsFiles, folder: string): void {
  files.certificate = resolve(folder, files.certificate)
  files.key = resolve(folder, files.key)
  if (files.authority !== undefined) files.authority = resolve(folder, files.authority)
}
