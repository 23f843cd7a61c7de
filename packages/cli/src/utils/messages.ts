/**
 * Prints messages of the schema.
 */

import { toJson, type DescMessage, type MessageShape } from '@bufbuild/protobuf'
import { OutputFormat, printable, printJson } from './output.js'

/** A message in the JSON form of the schema. */
export function printMessage<S extends DescMessage> (schema: S, message: MessageShape<S>): void {
  printJson(toJson(schema, message, { alwaysEmitImplicit: true }))
}

/** The result of a change: a line for people, or a value as JSON. */
export function printResult (format: OutputFormat, value: object, line: string): void {
  if (format === OutputFormat.json) printJson(value)
  else process.stdout.write(`${printable(line)}\n`)
}
