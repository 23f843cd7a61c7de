/**
 * The controller that leads loses its disk and is down for a second. It starts again with an empty folder, and freezes
 * for 0.7 s as it starts. 4.5 s after that (`catch_up_s` is 4 s), the next one that leads loses its disk in the same way, until no
 * process leads any more, fourteen times at most. Small jobs are handed in all the while. TROUBLE=0: no disk is lost.
 */

import { mkdirSync, rmSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { play, sleep, WITH_TROUBLE } from '../standins-2/cell.js'

const LOSSES = 14
const DOWN_MS = 1_000

const FREEZE_MS = 700

/** When the process freezes, after its first line; one after the other. Two hundredths of a second later it listens. */
const OFFSETS_MS = [8, 7, 9, 6, 10]
const CALM_MS = 4_500
const JOB_INTERVAL_MS = 200
const RECOVER_MS = 12_000

/** Freezes a process for a moment as soon as it writes its first line, which it does right after its start. */
async function freezeAtStart (child, logPath, offsetMs) {
  const size = statSync(logPath).size
  while (statSync(logPath).size === size) await new Promise(resolve => { setImmediate(resolve) })
  await sleep(offsetMs)
  child.kill('SIGSTOP')
  await sleep(FREEZE_MS)
  child.kill('SIGCONT')
}

play(async cell => {
  await cell.start({ runnerCount: 6 })
  const accepted = []
  const calls = []
  const timer = setInterval(() => {
    const id = `c${String(calls.length).padStart(15, '0')}`
    calls.push(cell.call('POST', id, { spec: JSON.stringify({ work: 300 }), steps: [{ count: 2, cpu: 200, mem_mb: 16, estimate_ms: 300 }] })
      .then(({ status }) => { if (status === 200) accepted.push(id) }))
  }, JOB_INTERVAL_MS)
  for (let loss = 1; loss <= LOSSES; loss++) {
    const leader = await cell.findLeader()
    if (leader < 0) break
    const found = cell.controller(leader)
    if (WITH_TROUBLE) {
      cell.note(`${found.name}, which leads, loses its disk (${loss}); ${accepted.length} jobs are accepted`)
      found.child.kill('SIGKILL')
      await sleep(DOWN_MS)
      const folder = join(cell.folder, found.name)
      rmSync(folder, { recursive: true, force: true })
      mkdirSync(folder)
      cell.restart(found)
      await freezeAtStart(found.child, join(cell.folder, `${found.name}.log`), OFFSETS_MS[loss % OFFSETS_MS.length])
    }
    await sleep(CALM_MS)
  }
  clearInterval(timer)
  await Promise.all(calls)
  await sleep(RECOVER_MS)
  const running = cell.processes.filter(({ child }) => child.exitCode === null && child.signalCode === null).length
  if (running < cell.processes.length) throw new Error(`only ${running} processes run`)
  const states = await Promise.all(accepted.map(id => cell.readState(id)))
  const counts = [...new Set(states)].map(state => `${states.filter(other => other === state).length} ${state}`).join(', ')
  cell.note(`states of the accepted jobs: ${counts}`)
  const lost = states.filter(state => state !== 'completed').length
  return lost === 0 ? [] : [`LOST: ${lost} of ${accepted.length} accepted jobs are not known, more than ${RECOVER_MS / 1_000} s after the last loss, with all processes running; no two disks were lost at once`]
})
