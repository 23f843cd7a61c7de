/**
 * Command-line options shared by several commands.
 */

import { boolean, flag, multioption, number, oneOf, option, optional, string, type Type } from 'cmd-ts'
import { OutputFormat } from './output.js'

export const outputOption = option({
  type: oneOf(Object.values(OutputFormat)),
  long: 'output',
  short: 'o',
  defaultValue: () => OutputFormat.table,
  defaultValueIsSerializable: true,
  description: 'table or json'
})

export const requestIdOption = option({
  type: optional(string),
  long: 'request-id',
  description: 'id of the change or request; give the id of an earlier one to retry it'
})

export const expectedVersionOption = option({
  type: optional(number),
  long: 'expected-version',
  description: 'version to which the change applies, 0 to create; defaults to the current version'
})

/** Addresses of the cell and identity of the caller. */
export const cellOptions = {
  endpoints: option({
    type: optional(string),
    long: 'endpoints',
    env: 'FLAMINGOROUTER_ENDPOINTS',
    description: 'entries as host:port or URL, separated by commas'
  }),
  access: option({
    type: optional(string),
    long: 'access',
    env: 'FLAMINGOROUTER_ACCESS',
    description: 'JSON file with endpoints, token, name and authority'
  }),
  token: option({
    type: optional(string),
    long: 'token',
    env: 'FLAMINGOROUTER_TOKEN',
    description: 'bearer token; safer in the access file, since other users of the machine may see the arguments'
  }),
  actor: option({
    type: optional(string),
    long: 'as',
    description: 'name of the caller, for a cell without tokens'
  }),
  timeoutMs: option({
    type: number,
    long: 'timeout-ms',
    defaultValue: () => 10_000,
    defaultValueIsSerializable: true,
    description: 'timeout of one call over all of its attempts'
  }),
  output: outputOption
}

const label: Type<string, [string, string]> = {
  displayName: 'key=value',
  async from (text) {
    const separatorIndex = text.indexOf('=')
    if (separatorIndex < 1) throw new Error(`expected key=value, found ${text}`)
    return [text.slice(0, separatorIndex), text.slice(separatorIndex + 1)]
  }
}

const labelList: Type<string[], Record<string, string>> = {
  displayName: 'key=value',
  async from (texts) {
    return Object.fromEntries(await Promise.all(texts.map(text => label.from(text))))
  }
}

export const selectorOption = multioption({
  type: labelList,
  long: 'selector',
  short: 'l',
  description: 'label as key=value; may be repeated, all labels must match'
})

/** Creates a boolean flag that is false by default. */
export function switchOption (long: string, description: string) {
  return flag({ type: boolean, long, description, defaultValue: () => false, defaultValueIsSerializable: true })
}

export interface CellArguments {
  endpoints: string | undefined
  access: string | undefined
  token: string | undefined
  actor: string | undefined
  timeoutMs: number
  output: OutputFormat
}
