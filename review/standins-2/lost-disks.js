/**
 * Not a case: the play behind an entry of KNOWN-RED.txt. The controller that leads loses its disk, is down for a second and starts
 * again with an empty folder; 4 s (`catch_up_s`) after it is back, the next one that leads loses its disk, seven times in all.
 * Usage: node lost-disks.js, in a folder in which record.txt may be written.
 */

import { mkdirSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { play, sleep } from './cell.js'

const LOSSES = 7
const DOWN_MS = 1_000
const CATCH_UP_MS = 4_000
const JOB_INTERVAL_MS = 40

play(async cell => {
  await cell.start({ runnerCount: 6 })
  const accepted = []
  const calls = []
  const timer = setInterval(() => {
    const id = `c${String(calls.length).padStart(15, '0')}`
    const body = { spec: JSON.stringify({ work: 300 }), steps: [{ count: 1 + calls.length % 4, cpu: 200, mem_mb: 16, estimate_ms: 300 }] }
    calls.push(cell.call('POST', id, body).then(({ status }) => { if (status === 200) accepted.push(id) }))
  }, JOB_INTERVAL_MS)
  for (let loss = 0; loss < LOSSES; loss++) {
    const leader = await cell.findLeader()
    if (leader < 0) break
    const found = cell.controller(leader)
    cell.note(`${found.name}, which leads, loses its disk; ${accepted.length} jobs are accepted`)
    found.child.kill('SIGKILL')
    await sleep(DOWN_MS)
    const folder = join(cell.folder, found.name)
    rmSync(folder, { recursive: true, force: true })
    mkdirSync(folder)
    cell.restart(found)
    await sleep(CATCH_UP_MS)
  }
  clearInterval(timer)
  await Promise.all(calls)
  await sleep(12_000)
  const states = await Promise.all(accepted.slice(0, 200).map(id => cell.readState(id)))
  const lost = states.filter(state => state !== 'completed').length
  return lost === 0 ? [] : [`LOST: ${lost} of the first ${states.length} accepted jobs are not known, 12 s after the last loss`]
})
