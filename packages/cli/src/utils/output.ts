/**
 * Output of the commands: a table for people or JSON for programs. Colour is used
 * only on a terminal, and not if NO_COLOR is set.
 */

import { isFailure, toFailure } from '@flamingorouter/scheduler'

export const OutputFormat = Object.freeze({ table: 'table', json: 'json' } as const)
export type OutputFormat = typeof OutputFormat[keyof typeof OutputFormat]

/** One column of a table: its heading, and a function that returns the cell of a row. */
export interface Column<T> {
  head: string
  cell: (row: T) => string | number | bigint
}

const RED = '\u001b[31m'
const BOLD = '\u001b[1m'
const RESET = '\u001b[0m'
const CONTROL_CHARACTERS = /\p{Cc}/gu

export function hasColour (stream: NodeJS.WriteStream): boolean {
  return stream.isTTY === true && (process.env.NO_COLOR ?? '') === ''
}

/** Prints a value as JSON indented by two spaces; a bigint is printed as a string. */
export function printJson (value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, (_key, each: unknown) => typeof each === 'bigint' ? String(each) : each, 2)}\n`)
}

/** Prints rows as a table without borders. */
export async function printTable<T> (rows: readonly T[], columns: readonly Column<T>[]): Promise<void> {
  process.stdout.write(`${await formatTable(rows, columns)}\n`)
}

export async function formatTable<T> (rows: readonly T[], columns: readonly Column<T>[]): Promise<string> {
  const { default: Table } = await import('cli-table3')
  const none = ''
  const isBold = hasColour(process.stdout)
  const table = new Table({
    head: columns.map(({ head }) => isBold ? `${BOLD}${head}${RESET}` : head),
    chars: {
      top: none,
      'top-mid': none,
      'top-left': none,
      'top-right': none,
      bottom: none,
      'bottom-mid': none,
      'bottom-left': none,
      'bottom-right': none,
      left: none,
      'left-mid': none,
      mid: none,
      'mid-mid': none,
      right: none,
      'right-mid': none,
      middle: '  '
    },
    style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 }
  })
  for (const row of rows) table.push(columns.map(({ cell }) => replaceControlCharacters(String(cell(row)))))
  return table.toString().split('\n').map(line => line.trimEnd()).join('\n')
}

/** Replaces control characters by question marks, since untrusted text could send commands to the terminal. */
export function replaceControlCharacters (text: string): string {
  return text.replace(CONTROL_CHARACTERS, '?')
}

/** Prints an error to standard error in the requested format; with FLAMINGOROUTER_TRACE=1 also the stack of an unexpected one. */
export function printError (thrown: unknown, format: OutputFormat): void {
  const failure = toFailure(thrown)
  if (format === OutputFormat.json) {
    const { kind, message, retryAfterMs } = failure
    process.stderr.write(`${JSON.stringify({ error: { kind, message, retryAfterMs } })}\n`)
    return
  }
  const text = `${failure.kind}: ${failure.message}`
  process.stderr.write(hasColour(process.stderr) ? `${RED}${text}${RESET}\n` : `${text}\n`)
  if (!isFailure(thrown) && thrown instanceof Error && process.env.FLAMINGOROUTER_TRACE === '1') {
    process.stderr.write(`${thrown.stack ?? ''}\n`)
  }
}
