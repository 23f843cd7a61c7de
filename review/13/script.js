/**
 * A machine without a disk stands still for 3.5 s. A client whose submission it holds leaves early and cancels the job at
 * another machine, which acknowledges that with 410. The submission is carried out when the machine wakes.
 */

import { join, dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, Cell, createConfiguration } from '../standins-3/cell.js'
import { Journal, pause } from '../standins-3/journal.js'
import { Fleet } from '../standins-3/runners.js'

/** The site has 3.5 s. */
const FREEZE_MS = 3500
/** The client leaves after 250 ms, well within the half of its objective that the pages have. */
const PATIENCE_MS = 250
/** A front machine without a controller. */
const FROZEN = 3

const isTrouble = process.env.TROUBLE !== '0'
const journal = new Journal(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))
const JOB = '5c0e7a21d94b36f8'
const PATH = `/service/${JOB}`
let cell
let fleet
let code = 2

async function play () {
  cell = await Cell.start(journal, { machines: 4 })
  const { status } = await cell.operate('PUT', '/api/config', createConfiguration(1, [{ prefix: '/service/', fields: {} }]))
  if (status !== 200) return 2
  const plans = new Map([[JOB, { steps: [{ count: 1, workMs: Infinity }] }]])
  const specs = Array.from({ length: 9 }, (_, index) => ({ zone: `zone-${'abc'[index % 3]}`, rack: `r1-${1 + index % 3}` }))
  fleet = await Fleet.start(cell, journal, plans, specs)
  // Longer than contact_ms, so that all machines are in touch.
  await pause(BOUNDS.contact_ms + 1000)
  const frozen = cell.machines[FROZEN]
  const frozenAt = performance.now()
  if (isTrouble) cell.signal(frozen, 'SIGSTOP')
  await cell.ask(FROZEN, 'POST', PATH, { spec: 'serve', steps: [{ count: 1, cpu: 1000, mem_mb: 256, long_running: true }] }, PATIENCE_MS)
  const cancelled = await cell.ask(0, 'DELETE', PATH)
  const cancelledAt = journal.seconds
  if (cancelled.status !== 410 && (cancelled.status < 200 || cancelled.status > 299)) return 2
  journal.note(`the cancelling of ${JOB} is acknowledged with ${cancelled.status}`)
  await pause(FREEZE_MS - (performance.now() - frozenAt))
  if (isTrouble) cell.signal(frozen, 'SIGCONT')
  await pause(2 * BOUNDS.contact_ms + BOUNDS.cancel_ms + BOUNDS.stop_ms)
  await cell.ask(1, 'GET', PATH)
  const lateStarts = fleet.starts.filter(({ at }) => at - cancelledAt > BOUNDS.cancel_ms / 1000)
  const running = fleet.findRuns(() => true).length
  journal.note(`${lateStarts.length} starts later than ${BOUNDS.cancel_ms} ms after the acknowledgement; ${running} of its tasks run ${(journal.seconds - cancelledAt).toFixed(1)} s after it`)
  const isBroken = lateStarts.length > 0 || running > 0
  journal.note(isBroken ? 'UNASKED broken: a task of a cancelled job is started' : 'UNASKED held')
  return isBroken ? 1 : 0
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
