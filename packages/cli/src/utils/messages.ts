/**
 * Prints protobuf messages and the results of changes.
 */

import { toJson, type DescMessage, type MessageShape } from '@bufbuild/protobuf'
import { OutputFormat, replaceControlCharacters, printJson } from './output.js'

/** Prints a message in the JSON form of its protobuf schema, including fields with default values. */
export function printMessage<S extends DescMessage> (schema: S, message: MessageShape<S>): void {
  printJson(toJson(schema, message, { alwaysEmitImplicit: true }))
}

/** Prints the result of a change: `line` for the table format, `value` for JSON. */
export function printResult (format: OutputFormat, value: object, line: string): void {
  if (format === OutputFormat.json) printJson(value)
  else process.stdout.write(`${replaceControlCharacters(line)}\n`)
}
