/**
 * A job of three tasks that last loses the runner of its first task five times, each time by a crash of one runner of nine.
 */

import { join, dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Cell, createConfiguration } from '../standins-3/cell.js'
import { Journal, pause, waitFor } from '../standins-3/journal.js'
import { Fleet } from '../standins-3/runners.js'

const CRASHES = 5
const TASKS = 3
/** Time for which the task is at work before the next crash. */
const WORK_MS = 4000
/** Time for which a crashed runner is down; the site has up to 4.5 s. */
const DOWN_MS = 1500

const isTrouble = process.env.TROUBLE !== '0'
const journal = new Journal(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))
const JOB = '5c0e7a21d94b36f8'
const PATH = `/service/${JOB}`
let cell
let fleet
let code = 2

async function readState () {
  const { status, text } = await cell.ask(0, 'GET', PATH)
  return status === 200 ? JSON.parse(text).state : `status ${status}`
}

async function play () {
  cell = await Cell.start(journal)
  const { status } = await cell.operate('PUT', '/api/config', createConfiguration(1, [{ prefix: '/service/', fields: {} }]))
  if (status !== 200) return 2
  const plans = new Map([[JOB, { steps: [{ count: TASKS, workMs: Infinity }] }]])
  const specs = Array.from({ length: 9 }, (_, index) => ({ zone: `zone-${'abc'[index % 3]}`, rack: `r1-${1 + index % 3}` }))
  fleet = await Fleet.start(cell, journal, plans, specs)
  const answer = await cell.submit(PATH, { spec: 'serve', steps: [{ count: TASKS, cpu: 1000, mem_mb: 256, long_running: true, max_per_server: 1 }] })
  if (answer.status !== 200) return 2
  const isAtWork = () => fleet.findRuns(run => run.task.endsWith('.0') && run.workingSince !== undefined && performance.now() - run.workingSince >= WORK_MS)[0]
  for (let crash = 1; crash <= CRASHES; crash++) {
    if (!await waitFor(isAtWork, 14000)) break
    journal.note(`state before crash ${crash}: ${await readState()}`)
    if (!isTrouble) {
      await pause(WORK_MS)
      continue
    }
    const { runner } = isAtWork()
    await runner.crash(`crash ${crash} of ${CRASHES}`)
    await pause(DOWN_MS)
    await runner.begin()
  }
  // The rule gives a task that lasts 6 s from its last run, and 4 s more of calm before.
  await waitFor(isAtWork, 14000)
  const state = await readState()
  const failedEnds = fleet.starts.filter(({ end }) => end === 'failed').length
  const running = fleet.findRuns(() => true).length
  journal.note(`in the end: state ${state}, ${failedEnds} runs ended failed, nobody cancelled the job, ${running} of its ${TASKS} tasks run`)
  const isHeld = state === 'running' && running === TASKS
  journal.note(isHeld ? 'LOST held' : 'LOST broken: the job is shown as failed without cause, or its tasks do not run')
  return isHeld ? 0 : 1
}

try {
  code = await play()
} catch (thrown) {
  journal.note(`could not run: ${thrown.stack}`)
} finally {
  await fleet?.stop()
  await cell?.stop()
  journal.note(`exit code ${code}`)
  journal.write()
}
process.exit(code)
