/**
 * Files that the commands read: the JSON form of a protobuf message, with short
 * names for enum values, and with bytes as a JSON object or in base64.
 */

import { readFileSync } from 'node:fs'
import { fromJson, ScalarType, type DescEnum, type DescMessage, type JsonObject, type MessageShape } from '@bufbuild/protobuf'
import { ErrorKind, fail } from '@flamingorouter/scheduler'

/** Reads a message from a file, or from standard input for `-`; throws a Failure of kind invalidArgument. */
export function readMessage<S extends DescMessage> (schema: S, file: string): MessageShape<S> {
  return parseMessage(schema, readDocument(file), file)
}

export function parseMessage<S extends DescMessage> (schema: S, text: string, file: string): MessageShape<S> {
  try {
    const parsed: unknown = JSON.parse(text)
    if (typeof parsed !== 'object' || parsed === null || Array.isArray(parsed)) throw new Error('expected a JSON object')
    return fromJson(schema, toProtobufJson(schema, parsed as JsonObject))
  } catch (error) {
    fail(ErrorKind.invalidArgument, `${file}: ${error instanceof Error ? error.message : String(error)}`)
  }
}

/** Returns the text of a file, or of standard input for `-`; throws a Failure of kind invalidArgument. */
export function readDocument (file: string): string {
  try {
    return readFileSync(file === '-' ? 0 : file, 'utf8')
  } catch (error) {
    return fail(ErrorKind.invalidArgument, error instanceof Error ? error.message : String(error))
  }
}

/** Returns the number of an enum value by its full or short name, such as `urgent` for URGENCY_URGENT. */
export function parseEnumValue (schema: DescEnum, text: string): number {
  const found = schema.values.find(value => formatEnumValue(schema, value.number) === text.toLowerCase() || value.name === text)
  if (found !== undefined && found.number !== 0) return found.number
  const names = schema.values.filter(value => value.number !== 0).map(value => formatEnumValue(schema, value.number))
  fail(ErrorKind.invalidArgument, `expected one of ${names.join(', ')}, found ${text}`)
}

/** Returns the short name of an enum value in lower case; empty for the unspecified value. */
export function formatEnumValue (schema: DescEnum, number: number): string {
  const name = schema.value[number]?.name ?? String(number)
  const shortName = name.startsWith(schema.sharedPrefix?.toUpperCase() ?? '') ? name.slice(schema.sharedPrefix?.length ?? 0) : name
  return number === 0 ? '' : shortName.toLowerCase()
}

function toProtobufJson (schema: DescMessage, json: JsonObject): JsonObject {
  const converted: JsonObject = { ...json }
  for (const field of schema.fields) {
    const value = json[field.jsonName]
    if (field.fieldKind === 'enum' && typeof value === 'string') {
      converted[field.jsonName] = parseEnumValue(field.enum, value)
    } else if (field.fieldKind === 'scalar' && field.scalar === ScalarType.BYTES && typeof value === 'object' && value !== null) {
      converted[field.jsonName] = Buffer.from(JSON.stringify(value)).toString('base64')
    }
  }
  return converted
}
