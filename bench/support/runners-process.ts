/**
 * Runners in a process of their own, so that their work does not count against
 * the entry that is measured. Prints the addresses, one JSON array, and serves
 * until it is stopped.
 */

import { Behaviour, RunServer } from '../../packages/targets/src/index.js'

const COUNT = Number(process.argv[2])

const addresses: string[] = []
for (let index = 0; index < COUNT; index += 1) {
  const server = RunServer.create({
    name: String(index),
    journal: () => {},
    plan: () => ({ behaviour: Behaviour.answer, workMs: 0 }),
    session: () => ''
  })
  addresses.push(await server.listen('127.0.0.1'))
}
process.stdout.write(`${JSON.stringify(addresses)}\n`)
process.once('disconnect', () => { process.exit(0) })
