/**
 * Commands that run a process or look at its files.
 */

import { command, number, option, positional, string, subcommands } from 'cmd-ts'
import { ERROR_ANSWERS, ErrorKind } from '@flamingorouter/scheduler'
import { outputOption, switchOption } from '../utils/options.js'
import { OutputFormat, printJson, printTable } from '../utils/output.js'

const settingsFile = positional({ type: string, displayName: 'SETTINGS', description: 'JSON file of the process' })

export const serveCommand = command({
  name: 'serve',
  description: 'Run the roles that a settings file names, until a signal ends the process',
  args: { file: settingsFile },
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
    demo: switchOption('demo', 'put work of every kind through the cell, print what came of it, and end'),
    port: option({
      type: number,
      long: 'port',
      defaultValue: () => 7070,
      defaultValueIsSerializable: true,
      description: 'port of the entry; 0 takes a free one'
    })
  },
  examples: [{ description: 'Try the system without settings', command: 'flamingorouter dev' }],
  handler: async options => {
    const { runDev } = await import('../runtime/dev.js')
    await runDev(options)
  }
})

export const checkSettingsCommand = command({
  name: 'check-settings',
  description: 'Check a settings file, and print it with all defaults',
  args: { file: settingsFile, output: outputOption },
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
  description: 'Print what a data folder holds, without changing it, and find damage',
  args: {
    folder: positional({ type: string, displayName: 'FOLDER', description: 'data folder of a controller' }),
    output: outputOption
  },
  examples: [{ description: 'Look at a stopped controller', command: 'flamingorouter state inspect /var/lib/flamingorouter' }],
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
  description: 'Look into the data folder of a controller',
  cmds: { inspect: inspectCommand }
})
