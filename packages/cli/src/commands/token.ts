/**
 * The command that creates tokens.
 */

import { array, command, multioption, oneOf, option, positional, string, subcommands } from 'cmd-ts'
import { Role } from '@flamingorouter/rpc'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { outputOption } from '../utils/options.js'
import { OutputFormat, printJson } from '../utils/output.js'

const createCommand = command({
  name: 'create',
  description: 'Create a token and print it with its entry for the tokens file; nothing is stored',
  args: {
    name: positional({ type: string, displayName: 'NAME', description: 'name of the holder of the token' }),
    roles: multioption({ type: array(oneOf(Object.values(Role))), long: 'role', description: 'caller, operator, target or platform' }),
    team: option({ type: string, long: 'team', defaultValue: () => '', description: 'the only team that the token may act for; any team when absent' }),
    output: outputOption
  },
  examples: [{ description: 'Create a token for a dispatch desk', command: 'flamingorouter token create dispatch-desk --role caller --team dispatch' }],
  handler: async ({ name, roles, team, output }) => {
    if (roles.length === 0) fail(ErrorKind.invalidArgument, 'give at least one --role')
    const { createToken } = await import('../core/token-store.js')
    const { token, entry } = createToken(name, roles, team)
    if (output === OutputFormat.json) return printJson({ token, entry })
    process.stdout.write(`${token}\n${JSON.stringify(entry)}\n`)
  }
})

export const tokenCommand = subcommands({
  name: 'token',
  description: 'Tokens of callers, operators, targets and the platform',
  cmds: { create: createCommand }
})
