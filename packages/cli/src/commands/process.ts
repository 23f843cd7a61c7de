/**
 * Commands that run a process or inspect its files.
 */

import { command, number, option, positional, string, subcommands } from 'cmd-ts'
import { ERROR_ANSWERS, ErrorKind } from '@flamingorouter/scheduler'
import { outputOption, switchOption } from '../utils/options.js'
import { OutputFormat, printJson, printTable } from '../utils/output.js'

const settingsFileArgument = positional({ type: string, displayName: 'SETTINGS', description: 'JSON file with the settings of the process' })

export const serveCommand = command({
  name: 'serve',
  description: 'Run the roles that a settings file defines, until a signal stops the process',
  args: { file: settingsFileArgument },
  examples: [{ description: 'Run a process of the Coastline cell', command: 'flamingorouter serve examples/coastline/entry-1.json' }],
  handler: async ({ file }) => {
    const { loadSettings } = await import('../core/settings.js')
    const { runServe } = await import('../runtime/serve.js')
    await runServe(loadSettings(file))
  }
})

export const devCommand = command({
  name: 'dev',
  description: 'Run a small cell in one process, with stand-in targets',
  args: {
    demo: switchOption('demo', 'run workloads of every kind, send requests, print the results and exit'),
    port: option({
      type: number,
      long: 'port',
      defaultValue: () => 7070,
      defaultValueIsSerializable: true,
      description: 'port of the entry; 0 selects a free port'
    })
  },
  examples: [{ description: 'Try out the system without settings', command: 'flamingorouter dev' }],
  handler: async options => {
    const { runDev } = await import('../runtime/dev.js')
    await runDev(options)
  }
})

export const checkSettingsCommand = command({
  name: 'check-settings',
  description: 'Check a settings file and print it with all defaults',
  args: { file: settingsFileArgument, output: outputOption },
  examples: [{ description: 'Check one of the examples', command: 'flamingorouter check-settings examples/consortium/entry-1.json' }],
  handler: async ({ file, output }) => {
    const { readSettings } = await import('../core/settings.js')
    const { formatIssue } = await import('../utils/schema-check.js')
    const { settings, errors, warnings } = readSettings(file)
    if (output === OutputFormat.json) {
      printJson({ settings, errors, warnings })
    } else {
      for (const issue of errors) process.stderr.write(`error\n${formatIssue(issue)}\n`)
      for (const issue of warnings) process.stderr.write(`warning\n${formatIssue(issue)}\n`)
      if (settings !== undefined) printJson(settings)
    }
    if (errors.length > 0) process.exitCode = ERROR_ANSWERS[ErrorKind.invalidArgument].exitCode
  }
})

const inspectCommand = command({
  name: 'inspect',
  description: 'Print the contents of a data folder without changing it, and report damage',
  args: {
    folder: positional({ type: string, displayName: 'FOLDER', description: 'data folder of a controller' }),
    output: outputOption
  },
  examples: [{ description: 'Inspect a stopped controller', command: 'flamingorouter state inspect /var/lib/flamingorouter' }],
  handler: async ({ folder, output }) => {
    const { inspectFolder } = await import('@flamingorouter/controllers')
    const report = await inspectFolder(folder)
    if (output === OutputFormat.json) {
      printJson(report)
    } else {
      await printTable(Object.entries(report), [
        { head: 'FIELD', cell: ([field]) => field },
        { head: 'VALUE', cell: ([, value]) => typeof value === 'object' ? JSON.stringify(value) : String(value) }
      ])
    }
    if (report.damages.length > 0) process.exitCode = ERROR_ANSWERS[ErrorKind.dataLoss].exitCode
  }
})

export const stateCommand = subcommands({
  name: 'state',
  description: 'Inspect the data folder of a controller',
  cmds: { inspect: inspectCommand }
})
