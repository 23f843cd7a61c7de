/**
 * What the runtime needs of a log: one event a line, with its fields.
 */

export type LogFields = Record<string, string | number | boolean>

export abstract class RuntimeLog {
  abstract info (event: string, fields?: LogFields): void
  abstract warn (event: string, fields?: LogFields): void
  abstract error (event: string, fields?: LogFields): void
}
