/**
 * How the command line reaches a cell: flags go before environment variables,
 * and both before the access file.
 */

import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { CellArguments } from '../utils/options.js'
import { CellClient } from './cell-client.js'

/** Where `dev` serves. */
export const DEFAULT_ENDPOINT = '127.0.0.1:7070'

/** The access file; every value may be left out. */
interface Access {
  endpoints: string[]
  token: string
  name: string
  /** File of the authority that signed the certificates of the entries. */
  authority: string
}

/** Opens a client, hands it on, and closes it whatever happens. */
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
  const given = args.endpoints?.split(',').map(each => each.trim()).filter(each => each !== '')
  const endpoints = given ?? access.endpoints
  if (endpoints.length === 0) fail(ErrorKind.invalidArgument, '--endpoints names no entry')
  const token = args.token ?? access.token
  const name = args.actor ?? access.name
  const headers: Record<string, string> = {}
  if (token !== '') headers.authorization = `Bearer ${token}`
  if (name !== '') headers['x-flamingorouter-principal'] = name
  const authority = access.authority === '' ? undefined : readText(access.authority)
  return CellClient.create({ endpoints, headers, timeoutMs: args.timeoutMs, authority })
}

function readAccess (file: string | undefined): Access {
  const access: Access = { endpoints: [DEFAULT_ENDPOINT], token: '', name: '', authority: '' }
  if (file === undefined) return access
  const parsed = parseObject(file)
  for (const [key, value] of Object.entries(parsed)) {
    if (!Object.hasOwn(access, key)) fail(ErrorKind.invalidArgument, `${file}: ${key}: expected one of ${Object.keys(access).join(', ')}`)
    if (key === 'endpoints') access.endpoints = asTexts(file, value)
    else access[key as 'token'] = asText(file, key, value)
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

function asTexts (file: string, value: unknown): string[] {
  if (Array.isArray(value) && value.every(each => typeof each === 'string')) return value
  return fail(ErrorKind.invalidArgument, `${file}: endpoints: expected a list of texts`)
}

function asText (file: string, key: string, value: unknown): string {
  return typeof value === 'string' ? value : fail(ErrorKind.invalidArgument, `${file}: ${key}: expected a text`)
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return fail(ErrorKind.invalidArgument, error instanceof Error ? error.message : String(error))
  }
}
