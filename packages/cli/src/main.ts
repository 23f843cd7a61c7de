/**
 * Entry point of the program: parses the command line and sets the exit code.
 */

import { runSafely, subcommands } from 'cmd-ts'
import { ERROR_ANSWERS, ErrorKind, toFailure } from '@flamingorouter/scheduler'
import { auditCommand, drainCommand, membersCommand, readmitCommand, statusCommand, topCommand } from './commands/cell.js'
import { configCommand, policyCommand, teamCommand } from './commands/configuration.js'
import { checkSettingsCommand, devCommand, serveCommand, stateCommand } from './commands/process.js'
import { tokenCommand } from './commands/token.js'
import { traceCommand } from './commands/trace.js'
import { callCommand, cancelCommand, outcomeCommand } from './commands/requests.js'
import {
  applyCommand, deleteCommand, explainCommand, getCommand, submitCommand, watchCommand
} from './commands/workloads.js'
import { OutputFormat, printError } from './utils/output.js'

const VERSION = '0.1.0'

const program = subcommands({
  name: 'flamingorouter',
  description: 'A cluster scheduler for services, batch work, gang jobs and requests',
  version: VERSION,
  cmds: {
    serve: serveCommand,
    dev: devCommand,
    'check-settings': checkSettingsCommand,
    state: stateCommand,
    apply: applyCommand,
    get: getCommand,
    delete: deleteCommand,
    explain: explainCommand,
    submit: submitCommand,
    watch: watchCommand,
    call: callCommand,
    outcome: outcomeCommand,
    cancel: cancelCommand,
    config: configCommand,
    team: teamCommand,
    policy: policyCommand,
    drain: drainCommand,
    readmit: readmitCommand,
    members: membersCommand,
    status: statusCommand,
    top: topCommand,
    audit: auditCommand,
    token: tokenCommand,
    trace: traceCommand
  },
  examples: [
    { description: 'Try out a small cell in this process', command: 'flamingorouter dev' },
    { description: 'Run a process of a cell', command: 'flamingorouter serve settings.json' },
    { description: 'Show the status of a cell', command: 'flamingorouter status --endpoints 10.0.1.1:7070,10.0.2.1:7070' }
  ]
})

/** Runs the command given by the arguments; an error sets the exit code of its kind. */
async function main (args: string[]): Promise<void> {
  try {
    const result = await runSafely(program, args)
    if (result._tag === 'error') printParserResult(result.error.config)
  } catch (thrown) {
    printError(thrown, isJsonRequested(args) ? OutputFormat.json : OutputFormat.table)
    process.exitCode = ERROR_ANSWERS[toFailure(thrown).kind].exitCode
  }
}

/** Prints the result of the argument parser: the help, the version, or an error in the arguments. */
function printParserResult ({ exitCode, message, into }: { exitCode: number, message: string, into: 'stdout' | 'stderr' }): void {
  process[into].write(`${message}\n`)
  process.exitCode = exitCode === 0 ? 0 : ERROR_ANSWERS[ErrorKind.invalidArgument].exitCode
}

function isJsonRequested (args: readonly string[]): boolean {
  return args.some((arg, index) => arg === '--output=json' || (arg === 'json' && ['--output', '-o'].includes(args[index - 1])))
}

main(process.argv.slice(2)).catch((thrown: unknown) => { throw thrown })
