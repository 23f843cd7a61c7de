/**
 * One job comes that can never be done: its tasks ask for more processor than any runner has. Ordinary jobs come after it, on a
 * service that is idle. They must run.
 */

import { join } from 'node:path'
import { BOUNDS, HAS_TROUBLE, pause, play } from '../standins/cell.js'

const HOPELESS = 'dead000000000001'
const RUNNERS = 7
const JOBS = 20

await play(join(import.meta.dirname, 'record.txt'), async cell => {
  await cell.start()
  await cell.configure(cell.configuration(1))
  for (let index = 0; index < RUNNERS; index++) cell.startRunner(index)
  await pause(4_000)
  if (HAS_TROUBLE) {
    const answer = await cell.ask('POST', `/q0/${HOPELESS}`, { spec: '{"last":true}', steps: [{ count: 8, cpu: 96000, mem_mb: 256, long_running: true }] })
    if (answer.status !== 200) throw new Error(`the job that can never be done was answered with ${answer.status}`)
  }
  await pause(1_000)
  const accepted = []
  for (let number = 1; number <= JOBS; number++) {
    const id = number.toString(16).padStart(16, '0')
    const answer = await cell.ask('POST', `/q0/${id}`, { spec: '{"ms":500}', steps: [{ count: 1, cpu: 1000, mem_mb: 64, estimate_ms: 500 }] })
    if (answer.status === 200) accepted.push(id)
    await pause(200)
  }
  cell.record(`${accepted.length} ordinary jobs are accepted; the traffic ends`)
  await pause(BOUNDS.finish_s * 1_000 + 3_000 + 10_000)
  const waiting = []
  for (const id of accepted) {
    const state = await cell.ask('GET', `/q0/${id}`)
    if (!state.text.includes('completed') && !cell.runs.some(run => run.task.startsWith(id))) waiting.push(`${id} ${state.text}`)
  }
  const inUse = cell.runs.filter(run => run.endedAt === undefined).length
  cell.record(`${waiting.length} of ${accepted.length} accepted jobs have not begun; ${inUse} tasks are at work on ${RUNNERS} runners of 64 cores`)
  return waiting.length === 0 ? '' : `LOST: ${waiting.length} of ${accepted.length} accepted jobs have never run, with ${inUse} tasks at work on ${RUNNERS} runners of 64 cores`
})
