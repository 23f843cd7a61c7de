/**
 * The two encodings of a message: binary and JSON. Both refuse fields and values that the
 * schema does not define, because an unknown field may request something that would
 * silently be ignored.
 */

import {
  fromBinary, fromJson, isMessage, toBinary, toJsonString,
  type DescField, type DescMessage, type JsonValue, type Message
} from '@bufbuild/protobuf'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'
import type { RpcResult } from '../types/call.js'
import type { Violation } from '../types/violation.js'
import { findShapeViolations } from './json-shape.js'
import { failViolations } from './wire-error.js'

export const ContentType = Object.freeze({ json: 'application/json', proto: 'application/proto' } as const)
export type ContentType = typeof ContentType[keyof typeof ContentType]

const utf8 = new TextDecoder('utf-8', { fatal: true })

/** The encoding that a Content-Type header names, or undefined if it is not supported. */
export function parseContentType (header: string | undefined): ContentType | undefined {
  const type = (header ?? '').split(';', 1)[0].trim().toLowerCase()
  if (type === ContentType.json) return ContentType.json
  if (type === ContentType.proto) return ContentType.proto
  return undefined
}

/** Decodes a message; throws a Failure of kind `invalidArgument` when the bytes do not match the schema. */
export function decodeMessage (schema: DescMessage, type: ContentType, bytes: Uint8Array): Message {
  const message = type === ContentType.json ? decodeJson(schema, bytes) : decodeBinary(schema, bytes)
  const violations: Violation[] = []
  findUnknown(schema, message, '', violations)
  if (violations.length > 0) failViolations(violations)
  return message
}

/** Encodes the response of a handler, which is a message or already in binary. */
export function encodeResult (schema: DescMessage, type: ContentType, result: RpcResult): Uint8Array | string {
  if (type === ContentType.proto) return isMessage(result) ? toBinary(schema, result) : result as Uint8Array
  const message = isMessage(result) ? result : fromBinary(schema, result as Uint8Array)
  return toJsonString(schema, message, { alwaysEmitImplicit: true })
}

function decodeJson (schema: DescMessage, bytes: Uint8Array): Message {
  const json = parseJson(bytes)
  try {
    return fromJson(schema, json, { ignoreUnknownFields: false })
  } catch (error) {
    const violations = findShapeViolations(schema, json)
    if (violations.length > 0) failViolations(violations)
    throw createDecodingFailure('the body is not a valid JSON request of this method', error)
  }
}

function parseJson (bytes: Uint8Array): JsonValue {
  try {
    return JSON.parse(utf8.decode(bytes)) as JsonValue
  } catch (error) {
    throw createDecodingFailure('the body is not valid JSON', error)
  }
}

function decodeBinary (schema: DescMessage, bytes: Uint8Array): Message {
  try {
    return fromBinary(schema, bytes)
  } catch (error) {
    throw createDecodingFailure('the body is not a valid binary request of this method', error)
  }
}

function createDecodingFailure (text: string, error: unknown): Failure {
  const reason = error instanceof Error ? error.message : String(error)
  return Failure.create(ErrorKind.invalidArgument, `${text}: ${reason}`)
}

/** Reports fields and enum numbers that the schema does not define, at any depth. */
function findUnknown (schema: DescMessage, message: Message, path: string, report: Violation[]): void {
  for (const { no } of message.$unknown ?? []) {
    report.push({ path: `${path}#${no}`, expected: `a field of ${schema.name}`, found: `unknown field ${no}` })
  }
  for (const field of schema.fields) {
    const value = readField(field, message)
    if (value !== undefined) findUnknownInField(field, value, path + field.jsonName, report)
  }
}

function findUnknownInField (field: DescField, value: unknown, path: string, report: Violation[]): void {
  if (field.fieldKind === 'enum') {
    if (field.enum.value[value as number] !== undefined) return
    report.push({ path, expected: `a value of ${field.enum.name}`, found: String(value) })
    return
  }
  if (field.fieldKind === 'message') {
    findUnknown(field.message, value as Message, `${path}.`, report)
    return
  }
  if (field.fieldKind !== 'list' || field.listKind !== 'message') return
  const items = value as Message[]
  for (let index = 0; index < items.length; index += 1) {
    findUnknown(field.message, items[index], `${path}[${index}].`, report)
  }
}

function readField (field: DescField, message: Message): unknown {
  const record = message as unknown as Record<string, unknown>
  if (field.oneof === undefined) return record[field.localName]
  const selected = record[field.oneof.localName] as { case?: string, value?: unknown }
  return selected.case === field.localName ? selected.value : undefined
}
