/**
 * The log interface of the runtime: one event per line, with its fields.
 */

export type LogFields = Record<string, string | number | boolean>

export abstract class RuntimeLog {
  abstract info (event: string, fields?: LogFields): void
  abstract warn (event: string, fields?: LogFields): void
  abstract error (event: string, fields?: LogFields): void
}

/** A log that discards all lines. */
export class NoopLog extends RuntimeLog {
  static create (): NoopLog {
    return new NoopLog()
  }

  override info (): void {}
  override warn (): void {}
  override error (): void {}
}
