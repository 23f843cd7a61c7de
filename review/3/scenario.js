/**
 * A step of many small tasks is at work on two runners, beside a steady flow of small jobs, when all processes of the core are
 * killed at the same moment. They are back after half a second. Meanwhile the tasks end `done`. None of them must be started again.
 */

import { join } from 'node:path'
import { HAS_TROUBLE, pause, play } from '../standins/cell.js'

const TASKS = 2_400
const TASK_MS = 7_000
const JOB = '5c0e7a21d94b36f8'

let jobs = 0

await play(join(import.meta.dirname, 'record.txt'), async cell => {
  await cell.start()
  await cell.configure(cell.configuration(1))
  for (let index = 0; index < 2; index++) cell.startRunner(index)
  await cell.until(() => cell.processes.size === 7, 5_000, 'two runners are up')
  await pause(4_000)
  const answer = await cell.ask('POST', `/q0/${JOB}`, { spec: JSON.stringify({ ms: TASK_MS }), steps: [{ count: TASKS, cpu: 40, mem_mb: 16, estimate_ms: TASK_MS }] })
  if (answer.status !== 200) throw new Error(`the job was answered with ${answer.status}`)
  await cell.until(() => cell.runs.length >= TASKS, TASK_MS - 500, `all ${TASKS} tasks have started`)
  cell.record(`${cell.runs.length} tasks have started; ${[0, 1].map(index => cell.runs.filter(run => run.index === index).length).join(' and ')} on the runners`)
  // The usual traffic: a small job every 200 ms.
  const traffic = setInterval(() => {
    cell.ask('POST', `/q0/${(++jobs).toString(16).padStart(16, '0')}`, { spec: '{"ms":300}', steps: [{ count: 1, cpu: 100, mem_mb: 16, estimate_ms: 300 }] })
  }, 200)
  const firstEndAt = Math.min(...cell.runs.map(run => run.startedAt)) + TASK_MS
  await cell.until(() => Date.now() >= firstEndAt, 10_000, 'the first task ends')
  if (HAS_TROUBLE) {
    for (let index = 0; index < 3; index++) cell.signal(`controller-${index}`, 'SIGKILL')
    await pause(500)
    for (let index = 0; index < 3; index++) cell.startController(index)
  }
  await pause(10_000)
  clearInterval(traffic)
  await pause(10_000)
  const state = await cell.ask('GET', `/q0/${JOB}`)
  cell.record(`state at the end: ${state.status} ${state.text}`)
  // Only ends that were taken note of count, and only where no lease lapsed.
  if (cell.lapses.length > 0) throw new Error('a lease lapsed')
  const doneAt = new Map()
  for (const run of cell.runs) {
    if (run.how === 'done' && run.number <= cell.acks.get(run.runner)) doneAt.set(run.task, Math.min(doneAt.get(run.task) ?? Infinity, run.endedAt))
  }
  const ofJob = cell.runs.filter(run => run.task.startsWith(JOB))
  const again = cell.runs.filter(run => run.startedAt > (doneAt.get(run.task) ?? Infinity))
  cell.record(`${ofJob.length} starts of ${TASKS} tasks; ${again.length} of them after a run of the task had ended done, an end that was taken note of`)
  return again.length === 0 ? '' : `TWICE: ${again.length} of ${TASKS} tasks were started again after a run had ended done`
})
