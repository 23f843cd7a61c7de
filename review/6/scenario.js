/**
 * A client hands in one job: a first step of one task, and 400 further steps of one task each that depend on the first.
 * TROUBLE=0: the same tasks in two steps. Small jobs are handed in before and after. `finish_s` (14 s) after the end of the
 * traffic, the jobs that were accepted are asked for.
 */

import { play, sleep, WITH_TROUBLE } from '../standins-2/cell.js'

const TASKS = 400
const SMALL = [{ count: 2, cpu: 500, mem_mb: 64, estimate_ms: 500 }]
const TASK = { cpu: 100, mem_mb: 16, estimate_ms: 200 }
const LARGE_ID = 'b000000000000000'
const FINISH_MS = 14_000

/** Time for which a job is asked for again and again, each call with a deadline of 3 s. */
const ASK_MS = 20_000

play(async cell => {
  await cell.start()
  for (let index = 0; index < 3; index++) await cell.submit(`a00000000000000${index}`, { work: 500 }, SMALL)
  await cell.waitUntil('the first jobs are completed', 5_000, async () => await cell.readState('a000000000000002') === 'completed')
  const rest = WITH_TROUBLE ? Array.from({ length: TASKS }, () => ({ count: 1, ...TASK, depends_on: [0] })) : [{ count: TASKS, ...TASK, depends_on: [0] }]
  const steps = [{ count: 1, ...TASK }, ...rest]
  cell.note(`the next job has ${TASKS + 1} tasks in ${steps.length} steps, in about ${JSON.stringify(steps).length} bytes`)
  if (!await cell.submit(LARGE_ID, { work: 200 }, steps)) cell.note('the large job was not accepted')
  for (let index = 0; index < 5; index++) {
    await sleep(1_000)
    await cell.submit(`c00000000000000${index}`, { work: 500 }, SMALL)
  }
  cell.note('end of the traffic')
  await sleep(FINISH_MS)
  const breaks = []
  await Promise.all([...cell.jobs.keys()].map(async id => {
    let state = ''
    for (const endsAt = performance.now() + ASK_MS; performance.now() < endsAt; await sleep(500)) {
      state = await cell.readState(id)
      if (state === 'completed') break
    }
    cell.note(`${id}, accepted: ${state}`)
    if (state !== 'completed') breaks.push(`LOST: the accepted job ${id} is ${state} to the end of ${ASK_MS / 1_000} s of calls that began ${FINISH_MS / 1_000} s after the traffic`)
  }))
  const starts = cell.runners.flatMap(runner => runner.starts).filter(({ task }) => task.startsWith(`${LARGE_ID}.`)).length
  cell.note(`starts of tasks of ${LARGE_ID}: ${starts}`)
  return breaks
})
