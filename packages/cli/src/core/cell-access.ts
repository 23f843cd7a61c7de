/**
 * Connects the command line to a cell. Flags take precedence over environment variables,
 * and both over the access file.
 */

import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { CellArguments } from '../utils/options.js'
import { CellClient } from './cell-client.js'

/** Address on which the `dev` command listens by default. */
export const DEFAULT_ENDPOINT = '127.0.0.1:7070'

/** Contents of the access file with defaults; every value is optional in the file. */
interface AccessFile {
  endpoints: string[]
  token: string
  name: string
  /** Path of the certificate of the authority that signed the certificates of the entries; empty for none. */
  authority: string
}

/** Calls `use` with a client of the cell, and closes the client when it has settled. */
export async function withCell<T> (args: CellArguments, use: (cell: CellClient) => Promise<T>): Promise<T> {
  const cell = openCell(args)
  try {
    return await use(cell)
  } finally {
    await cell.close()
  }
}

function openCell (args: CellArguments): CellClient {
  const access = readAccess(args.access)
  const endpointOverrides = args.endpoints?.split(',').map(each => each.trim()).filter(each => each !== '')
  const endpoints = endpointOverrides ?? access.endpoints
  if (endpoints.length === 0) fail(ErrorKind.invalidArgument, 'the list of endpoints contains no address')
  const token = args.token ?? access.token
  const name = args.actor ?? access.name
  const headers: Record<string, string> = {}
  if (token !== '') headers.authorization = `Bearer ${token}`
  if (name !== '') headers['x-flamingorouter-principal'] = name
  const authority = access.authority === '' ? undefined : readText(access.authority)
  return CellClient.create({ endpoints, headers, timeoutMs: args.timeoutMs, authority })
}

function readAccess (file: string | undefined): AccessFile {
  const access: AccessFile = { endpoints: [DEFAULT_ENDPOINT], token: '', name: '', authority: '' }
  if (file === undefined) return access
  const parsed = parseObject(file)
  for (const [key, value] of Object.entries(parsed)) {
    if (!Object.hasOwn(access, key)) fail(ErrorKind.invalidArgument, `${file}: ${key}: expected one of ${Object.keys(access).join(', ')}`)
    if (key === 'endpoints') access.endpoints = requireStrings(file, value)
    else access[key as 'token'] = requireString(file, key, value)
  }
  if (access.authority !== '') access.authority = resolve(dirname(file), access.authority)
  return access
}

function parseObject (file: string): object {
  try {
    const parsed: unknown = JSON.parse(readText(file))
    if (typeof parsed === 'object' && parsed !== null) return parsed
  } catch (error) {
    fail(ErrorKind.invalidArgument, `${file}: ${error instanceof Error ? error.message : String(error)}`)
  }
  return fail(ErrorKind.invalidArgument, `${file}: expected a JSON object`)
}

function requireStrings (file: string, value: unknown): string[] {
  if (Array.isArray(value) && value.every(each => typeof each === 'string')) return value
  return fail(ErrorKind.invalidArgument, `${file}: endpoints: expected a list of strings`)
}

function requireString (file: string, key: string, value: unknown): string {
  return typeof value === 'string' ? value : fail(ErrorKind.invalidArgument, `${file}: ${key}: expected a string`)
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return fail(ErrorKind.invalidArgument, error instanceof Error ? error.message : String(error))
  }
}
