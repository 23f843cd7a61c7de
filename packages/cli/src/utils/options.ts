/**
 * Options that many commands share.
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
  description: 'repeat an earlier change or request under its id'
})

export const expectedVersionOption = option({
  type: optional(number),
  long: 'expected-version',
  description: 'change only this version; 0 creates; the present one when absent'
})

/** How to reach the cell, and as whom. */
export const cellOptions = {
  endpoints: option({
    type: optional(string),
    long: 'endpoints',
    env: 'FLAMINGOROUTER_ENDPOINTS',
    description: 'entries as host:port or URL, split by commas'
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
    description: 'bearer token; better kept in the access file'
  }),
  actor: option({
    type: optional(string),
    long: 'as',
    description: 'name of the caller where the cell knows no tokens'
  }),
  timeoutMs: option({
    type: number,
    long: 'timeout-ms',
    defaultValue: () => 10_000,
    defaultValueIsSerializable: true,
    description: 'longest time over all tries'
  }),
  output: outputOption
}

const label: Type<string, [string, string]> = {
  displayName: 'key=value',
  async from (text) {
    const at = text.indexOf('=')
    if (at < 1) throw new Error(`expected key=value, found ${text}`)
    return [text.slice(0, at), text.slice(at + 1)]
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
  description: 'label as key=value; all given must match'
})

/** A flag that is off unless given. */
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
