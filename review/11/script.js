/**
 * A gang of two starts on two runners of one rack; the rack crashes half a second later and is back after 2 s.
 */

import { join, dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Cell, createConfiguration } from '../standins-3/cell.js'
import { Journal, pause, waitFor } from '../standins-3/journal.js'
import { Fleet } from '../standins-3/runners.js'

/** Time from the start of the gang to the crash of the rack. */
const CRASH_AFTER_MS = 500
const DOWN_MS = 2000
const WORK_MS = 4000
const RACK = 'r1-1'

const isTrouble = process.env.TROUBLE !== '0'
const journal = new Journal(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))
const JOB = '5c0e7a21d94b36f8'
const PATH = `/gangs/${JOB}`
let cell
let fleet
let code = 2

async function readState () {
  const { status, text } = await cell.ask(0, 'GET', PATH)
  return status === 200 ? JSON.parse(text).state : `status ${status}`
}

async function play () {
  cell = await Cell.start(journal)
  const { status } = await cell.operate('PUT', '/api/config', createConfiguration(1, [{ prefix: '/gangs/', fields: {} }]))
  if (status !== 200) return 2
  const plans = new Map([[JOB, { steps: [{ count: 2, workMs: WORK_MS, gang: true }] }]])
  const specs = Array.from({ length: 9 }, (_, index) => ({ zone: `zone-${'abc'[index % 3]}`, rack: `r1-${1 + Math.floor(index / 2)}` }))
  fleet = await Fleet.start(cell, journal, plans, specs)
  await pause(3000)
  const steps = [{ count: 2, cpu: 5000, mem_mb: 4096, estimate_ms: WORK_MS, gang: true, data_rack: RACK }]
  const answer = await cell.submit(PATH, { spec: 'gang', steps })
  if (answer.status !== 200) return 2
  if (!await waitFor(() => fleet.findRuns(run => run.workingSince !== undefined).length === 2, 10000, 5)) return 2
  const racks = new Set(fleet.findRuns(() => true).map(({ runner }) => runner.rack))
  journal.note(`the gang is at work on rack ${[...racks].join(' and ')}`)
  if (racks.size !== 1) return 2
  if (isTrouble) {
    const [rack] = racks
    await pause(CRASH_AFTER_MS)
    const lost = fleet.runners.filter(runner => runner.rack === rack)
    await Promise.all(lost.map(runner => runner.crash(`the rack ${rack} loses power`)))
    await pause(DOWN_MS)
    for (const runner of lost) await runner.begin()
  }
  const isDone = await waitFor(async () => await readState() === 'completed', 45000, 1000)
  journal.note(`in the end: ${await readState()}, ${fleet.starts.length} starts, ${fleet.findRuns(() => true).length} runs on ${fleet.runners.length} runners`)
  journal.note(isDone ? 'LOST held' : 'LOST broken: nothing of the job runs, though all capacity is free')
  return isDone ? 0 : 1
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
