/**
 * A runner is lost for good; a second later the controller that leads is killed and started again. From then on a gang that
 * would need the lost runner keeps the work of all others from starting.
 */

import { join, dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, Cell, createConfiguration } from '../standins-3/cell.js'
import { Journal, pause } from '../standins-3/journal.js'
import { Fleet } from '../standins-3/runners.js'

const RUNNERS = 9
const PLAIN_JOBS = 10
const GANG_WORK_MS = 16000

const isTrouble = process.env.TROUBLE !== '0'
const journal = new Journal(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))
const GANG = 'aaaaaaaaaaaaaaaa'
let cell
let fleet
let code = 2

function listPlain () {
  return Array.from({ length: PLAIN_JOBS }, (_, number) => (number + 1).toString(16).padStart(16, '0'))
}

async function play () {
  cell = await Cell.start(journal)
  const fields = { stretch: 4, target_latency_ms: 3000 }
  const queues = [{ prefix: '/large/', fields: { ...fields, priority: 0 } }, { prefix: '/plain/', fields: { ...fields, priority: 1 } }]
  const { status } = await cell.operate('PUT', '/api/config', createConfiguration(1, queues))
  if (status !== 200) return 2
  const plans = new Map([[GANG, { steps: [{ count: RUNNERS, workMs: GANG_WORK_MS, gang: true }] }]])
  for (const id of listPlain()) plans.set(id, { steps: [{ count: 1, workMs: 1000 }] })
  const specs = Array.from({ length: RUNNERS }, (_, index) => ({ zone: `zone-${'abc'[index % 3]}`, rack: `r1-${1 + index % 3}` }))
  fleet = await Fleet.start(cell, journal, plans, specs)
  await pause(4000)
  await fleet.runners[RUNNERS - 1].crash('it is lost for good')
  await pause(1000)
  if (isTrouble) await cell.restartLeader()
  // Longer than any lease and any time that the pages give the system after a disruption.
  await pause(BOUNDS.recover_s * 1000 + BOUNDS.hold_max_ms)
  const gang = await cell.submit(`/large/${GANG}`, { spec: 'gang', steps: [{ count: RUNNERS, cpu: 7500, mem_mb: 1024, estimate_ms: GANG_WORK_MS, gang: true }] })
  await pause(1000)
  const answers = await Promise.all(listPlain().map(id => cell.submit(`/plain/${id}`, { spec: 'plain', steps: [{ count: 1, cpu: 1000, mem_mb: 256, estimate_ms: 1000 }] })))
  if (gang.status !== 200 || answers.some(answer => answer.status !== 200)) return 2
  journal.note('end of the traffic')
  await pause((BOUNDS.finish_s + 3) * 1000)
  const waiting = listPlain().filter(id => !fleet.starts.some(({ task }) => task.startsWith(id)))
  for (const id of listPlain()) await cell.ask(0, 'GET', `/plain/${id}`)
  const running = fleet.findRuns(() => true).length
  journal.note(`${waiting.length} of ${PLAIN_JOBS} plain jobs have not started ${BOUNDS.finish_s + 3} s after the end of the traffic; ${running} tasks run on ${RUNNERS - 1} runners`)
  journal.note(waiting.length > 0 ? 'LOST broken: nothing of these jobs runs, though all runners are idle' : 'LOST held')
  return waiting.length > 0 ? 1 : 0
}

try {
  code = await play()
} catch (thrown) {
  journal.note(`could not run: ${thrown.stack}`)
} finally {
  await fleet?.stop()
  await cell?.stop()
}
process.exit(code)
