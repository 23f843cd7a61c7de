/**
 * Waiting of requests: one queue for a service against shares of its slots for
 * each entry, and the retry budget against none, in fake time.
 */

import type { Histogram } from 'hdr-histogram-js'
import { Urgency } from '../../packages/scheduler/src/index.js'
import { Better, type Measure, type RunOptions } from '../registry.js'
import { OneQueue, Shares } from '../support/dispatchers.js'
import { RequestCell, type CellOptions, type Dispatcher } from '../support/request-cell.js'

const MICROSECONDS = 1_000
const DEADLINE_MS = 2_000
const RATES = [0.7, 0.9, 0.98, 2]

const COMMON: Omit<CellOptions, 'seed' | 'durationMs'> = {
  load: 0.9,
  slowBy: 1,
  deadlineMs: DEADLINE_MS,
  leaderLostAt: 0
}

interface Way { name: string, create: () => Dispatcher }

const ONE_QUEUE: Way = { name: 'one queue', create: () => OneQueue.create(true) }
const WAYS: readonly Way[] = [
  ONE_QUEUE,
  { name: 'fixed shares', create: () => Shares.create(false) },
  { name: 'leased shares', create: () => Shares.create(true) }
]

export const requestWaiting: Measure = {
  name: 'request-waiting',
  title: 'waiting for a slot, p99, 30 runners of 8 slots at 90% load, one queue; and other ways and loads',
  unit: 'ms',
  better: Better.lower,
  run: options => {
    const details: Record<string, number> = {}
    for (const way of WAYS) {
      for (const load of RATES) describe(details, `${way.name}, ${load * 100}%`, runCell(way, options, { load }))
      describe(details, `${way.name}, one runner 5 times slower`, runCell(way, options, { slowBy: 5, load: 0.7 }))
    }
    const changed = runCell(ONE_QUEUE, options, { load: 0.7, leaderLostAt: durationOf(options) / 2 })
    describe(details, 'one queue, 70%, 1 s without a leader', changed)
    return { value: details['one queue, 90%: p99 (ms)'], details }
  }
}

/** A common backend of all runners fails for a while, and later whenever it is asked too often. */
const OUTAGE_FROM_MS = 4_000
const OUTAGE_UNTIL_MS = 7_000
const FAILS_AFTER_MS = 5
const ATTEMPTS_A_SECOND = 1_000
const WINDOW_MS = 1_000

export const retryStorm: Measure = {
  name: 'retry-storm',
  title: 'requests answered in time after a backend of all runners failed for 3 s, with the retry budget',
  unit: '%',
  better: Better.higher,
  bound: 95,
  aim: 99,
  run: options => {
    const withBudget = storm(options, true)
    const without = storm(options, false)
    return {
      value: withBudget.recovered,
      details: {
        'without the budget (%)': without.recovered,
        'attempts a request with the budget': withBudget.attempts,
        'attempts a request without': without.attempts
      }
    }
  }
}

function storm (options: RunOptions, budgetsRetries: boolean): { recovered: number, attempts: number } {
  const way = { name: 'storm', create: () => OneQueue.create(budgetsRetries) }
  const durationMs = 17_000
  const cell = runCell(way, options, { load: 0.6, failing: createBackend(), durationMs })
  let arrived = 0
  let good = 0
  for (let second = 12; second < 17; second += 1) {
    arrived += cell.arrivedBySecond[second] ?? 0
    good += cell.goodBySecond[second] ?? 0
  }
  return { recovered: 100 * good / arrived, attempts: cell.attempts / cell.arrived }
}

function createBackend (): (now: number) => number | undefined {
  let recent: number[] = []
  return now => {
    recent.push(now)
    if (recent[0] < now - 2 * WINDOW_MS) recent = recent.filter(at => at > now - WINDOW_MS)
    const rate = recent.filter(at => at > now - WINDOW_MS).length
    const isOut = now >= OUTAGE_FROM_MS && now < OUTAGE_UNTIL_MS
    return isOut || rate > ATTEMPTS_A_SECOND ? FAILS_AFTER_MS : undefined
  }
}

function durationOf ({ quick }: RunOptions): number {
  return quick ? 8_000 : 30_000
}

function runCell (way: Way, options: RunOptions, changes: Partial<CellOptions>): RequestCell {
  options.progress(`${way.name} ${JSON.stringify(changes)}`)
  return RequestCell.run(way.create(), { ...COMMON, seed: options.seed, durationMs: durationOf(options), ...changes })
}

function describe (details: Record<string, number>, name: string, cell: RequestCell): void {
  details[`${name}: p50 (ms)`] = at(cell.all, 50)
  details[`${name}: p99 (ms)`] = at(cell.all, 99)
  details[`${name}: p99.9 (ms)`] = at(cell.all, 99.9)
  details[`${name}: urgent p99 (ms)`] = at(cell.waits[Urgency.urgent], 99)
  details[`${name}: refused at once (%)`] = 100 * (cell.refused - cell.refusedLate) / cell.arrived
  details[`${name}: refused after a wait (%)`] = 100 * cell.refusedLate / cell.arrived
  details[`${name}: in time (%)`] = 100 * cell.inTime / cell.arrived
}

function at (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS
}
