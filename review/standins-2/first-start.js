/**
 * Not a case: the play behind an entry of KNOWN-RED.txt. Usage: node first-start.js, in a folder in which record.txt may be written.
 * The first start of three controllers and three entries. One of the controllers is killed right after its start, and started
 * again 0.8 s later, as the platform does. After that nothing is disturbed any more. The operator sends the first configuration to
 * one controller after the other, for 60 s.
 */

import { play, sleep, WITH_TROUBLE } from './cell.js'

const KILL_AFTER_MS = 20
const RESTART_AFTER_MS = 800
const OPERATOR_MS = 60_000

play(async cell => {
  await cell.startProcesses()
  const killed = cell.controller(2)
  if (WITH_TROUBLE) {
    await sleep(KILL_AFTER_MS)
    killed.child.kill('SIGKILL')
    cell.note(`${killed.name} is killed`)
    await sleep(RESTART_AFTER_MS)
    cell.restart(killed)
  }
  try {
    await cell.configure(1, OPERATOR_MS)
  } catch {
    const running = cell.processes.filter(({ child }) => child.exitCode === null && child.signalCode === null).length
    if (running < cell.processes.length) throw new Error(`only ${running} processes run`)
    const answer = await cell.call('POST', 'aaaaaaaaaaaaaaaa', { spec: '{}', steps: [{ count: 1, cpu: 100 }] })
    return [`Fault: no request is served: the first configuration was sent for ${OPERATOR_MS / 1_000} s and never acknowledged, while all ${running} processes run; a job gets ${answer.status === 0 ? 'no answer' : answer.status}`]
  }
  return []
})
