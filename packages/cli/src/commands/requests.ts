/**
 * Commands for requests to services.
 */

import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { command, number, option, optional, positional, string } from 'cmd-ts'
import { ERROR_ANSWERS, ErrorKind, fail } from '@flamingorouter/scheduler'
import { CallerService, OutcomeKind, OutcomeKindSchema, OutcomeSchema, UrgencySchema, type Outcome } from '@flamingorouter/schema'
import { withCell } from '../core/cell-access.js'
import { parseEnumValue, formatEnumValue } from '../core/documents.js'
import { printMessage, printResult } from '../utils/messages.js'
import { cellOptions, requestIdOption, selectorOption, switchOption } from '../utils/options.js'
import { OutputFormat, replaceControlCharacters } from '../utils/output.js'

/** Error kinds whose exit codes stand for an outcome; an outcome that is not listed exits with 0. */
const ERROR_KIND_BY_OUTCOME: Readonly<Partial<Record<OutcomeKind, ErrorKind>>> = Object.freeze({
  [OutcomeKind.NOT_RUN]: ErrorKind.unavailable,
  [OutcomeKind.UNKNOWN]: ErrorKind.deadlineExceeded,
  [OutcomeKind.CANCELLED]: ErrorKind.cancelled,
  [OutcomeKind.PENDING]: ErrorKind.deadlineExceeded
})

const requestArgument = positional({ type: string, displayName: 'REQUEST-ID', description: 'id with which the request was sent' })

export const callCommand = command({
  name: 'call',
  description: 'Send one request to a service and print the body of its answer',
  args: {
    ...cellOptions,
    service: positional({ type: string, displayName: 'SERVICE', description: 'name of the service' }),
    payload: option({ type: optional(string), long: 'payload', description: 'body of the request' }),
    payloadFile: option({ type: optional(string), long: 'payload-file', description: 'file with the body of the request' }),
    urgency: option({ type: string, long: 'urgency', defaultValue: () => 'normal', defaultValueIsSerializable: true, description: 'bulk, normal or urgent' }),
    deadlineMs: option({ type: number, long: 'deadline-ms', defaultValue: () => 5_000, defaultValueIsSerializable: true, description: 'time after which the answer is no longer needed' }),
    isIdempotent: switchOption('idempotent', 'the request may safely run twice'),
    requestId: requestIdOption
  },
  examples: [
    { description: 'A fault lookup', command: 'flamingorouter call dispatch --urgency urgent --idempotent --payload "kiosk 17"' },
    { description: 'A reconciliation, which must not run twice', command: 'flamingorouter call dispatch --request-id coins-2026-12-03 --payload-file coins.csv' }
  ],
  handler: async args => {
    const requestId = args.requestId ?? randomUUID()
    await withCell(args, async cell => {
      const { outcome } = await cell.call(CallerService.method.submit, {
        service: args.service,
        requestId,
        idempotent: args.isIdempotent,
        urgency: parseEnumValue(UrgencySchema, args.urgency),
        deadlineMs: args.deadlineMs,
        payload: readPayload(args.payload, args.payloadFile)
      }, args.deadlineMs)
      printOutcome(args.output, outcome as Outcome, requestId)
    })
  }
})

export const outcomeCommand = command({
  name: 'outcome',
  description: 'Fetch the outcome of an earlier request',
  args: { ...cellOptions, requestId: requestArgument },
  examples: [{ description: 'Show the outcome of a request', command: 'flamingorouter outcome coins-2026-12-03' }],
  handler: async args => {
    await withCell(args, async cell => {
      const { outcome } = await cell.call(CallerService.method.fetchOutcome, { requestId: args.requestId })
      printOutcome(args.output, outcome as Outcome, args.requestId)
    })
  }
})

export const cancelCommand = command({
  name: 'cancel',
  description: 'Cancel a request, a job, or all jobs that a selector matches',
  args: {
    ...cellOptions,
    request: positional({ type: optional(string), displayName: 'REQUEST-ID', description: 'request to cancel' }),
    job: option({ type: optional(string), long: 'job', description: 'job to cancel' }),
    selector: selectorOption,
    requestId: requestIdOption
  },
  examples: [
    { description: 'Cancel a request', command: 'flamingorouter cancel lookup-17' },
    { description: 'Cancel the jobs of one region', command: 'flamingorouter cancel --selector region=island' }
  ],
  handler: async args => {
    const selectionCount = [args.request, args.job].filter(each => each !== undefined).length + (Object.keys(args.selector).length > 0 ? 1 : 0)
    if (selectionCount !== 1) fail(ErrorKind.invalidArgument, 'give exactly one of REQUEST-ID, --job and --selector')
    await withCell(args, async cell => {
      if (args.request !== undefined) {
        const { outcome } = await cell.call(CallerService.method.cancelRequest, { requestId: args.request })
        const { kind, reason } = outcome as Outcome
        const text = formatEnumValue(OutcomeKindSchema, kind)
        return printResult(args.output, { requestId: args.request, kind: text, reason }, `${args.request}: ${text} ${reason}`.trim())
      }
      const requestId = args.requestId ?? randomUUID()
      const { cancelled } = await cell.call(CallerService.method.cancelJobs, { requestId, id: args.job ?? '', selector: args.selector })
      printResult(args.output, { cancelled, requestId }, `${cancelled} cancelled`)
    })
  }
})

function readPayload (text: string | undefined, file: string | undefined): Uint8Array {
  if (text !== undefined && file !== undefined) fail(ErrorKind.invalidArgument, 'give --payload or --payload-file, not both')
  if (file === undefined) return Buffer.from(text ?? '')
  try {
    return readFileSync(file)
  } catch (error) {
    return fail(ErrorKind.invalidArgument, error instanceof Error ? error.message : String(error))
  }
}

/** Writes only the body to standard output, so that it can be piped; other outcomes go to standard error. */
function printOutcome (format: OutputFormat, outcome: Outcome, requestId: string): void {
  const error = ERROR_KIND_BY_OUTCOME[outcome.kind]
  if (error !== undefined) process.exitCode = ERROR_ANSWERS[error].exitCode
  if (format === OutputFormat.json) return printMessage(OutcomeSchema, outcome)
  if (outcome.kind === OutcomeKind.DONE) {
    process.stdout.write(outcome.body)
    if (process.stdout.isTTY) process.stdout.write('\n')
    return
  }
  const retryAdvice = outcome.retryAfterMs > 0 ? `, retry after ${outcome.retryAfterMs} ms` : ''
  process.stderr.write(replaceControlCharacters(`${requestId}: ${formatEnumValue(OutcomeKindSchema, outcome.kind)}: ${outcome.reason}${retryAdvice}`) + '\n')
}
