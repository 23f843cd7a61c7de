/**
 * The loop monitor and the load line: what an operator needs to tell a leader
 * without processor time from a full cell.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createClusterState, type CalledWorker } from '@flamingorouter/scheduler'
import { LoadReporter, LoopMonitor, MetricsRegistry, RuntimeLog, type LogFields } from '../src/index.js'

const INTERVAL_MS = 20

class RecordingLog extends RuntimeLog {
  readonly lines: Array<{ event: string, fields: LogFields }> = []

  static create (): RecordingLog {
    return new RecordingLog()
  }

  override info (event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields })
  }

  override warn (): void {}
  override error (): void {}
}

/** A monitor of a process whose clocks the test sets. */
class MonitoredProcess {
  now = 0
  usedMs = 0
  readonly delays: number[] = []
  gcMs = 0
  readonly stalls: Array<{ workMs: number, work: string }> = []
  readonly monitor = LoopMonitor.create({
    intervalMs: INTERVAL_MS,
    now: () => this.now,
    readProcessorTime: () => ({ user: this.usedMs * 1_000, system: 0 }),
    readGcMs: () => this.gcMs,
    handleDelay: ({ delayMs, isStalled, workMs, work }) => {
      this.delays.push(delayMs)
      if (isStalled) this.stalls.push({ workMs, work })
    }
  })

  static create (): MonitoredProcess {
    return new MonitoredProcess()
  }

  /** Lets the timer run `ms` after the previous time, with the processor in use for `usedMs`. */
  runTimer (ms: number, usedMs = 0): void {
    this.now += ms
    this.usedMs += usedMs
    this.monitor.tick()
  }
}

function createWorker (): CalledWorker {
  return {
    id: 'worker',
    incarnation: 1,
    address: 'worker:1',
    service: 'work',
    availabilityZone: 'zone',
    rack: 'rack',
    labels: [],
    capacity: { millicores: 16_000, memoryMib: 65_536, accelerators: 0 },
    isDraining: false,
    hasLeft: false
  }
}

describe('the loop monitor', () => {
  it('counts no delay while timers run on time', () => {
    const process = MonitoredProcess.create()
    for (let tick = 0; tick < 50; tick++) process.runTimer(INTERVAL_MS, 5)
    assert.deepEqual(process.monitor.takeReport(), { busyPercent: 25, gcPercent: 0, loopDelayMs: 0 })
    assert.deepEqual(process.stalls, [])
  })

  it('reports the longest delay and the processor time since the previous report', () => {
    const process = MonitoredProcess.create()
    process.runTimer(INTERVAL_MS + 350, 300)
    process.gcMs = 42
    process.runTimer(INTERVAL_MS + 30, 30)
    assert.deepEqual(process.monitor.takeReport(), { busyPercent: 79, gcPercent: 10, loopDelayMs: 350 })
    assert.equal(process.stalls.length, 1)
    process.runTimer(INTERVAL_MS)
    assert.deepEqual(process.monitor.takeReport(), { busyPercent: 0, gcPercent: 0, loopDelayMs: 0 })
  })

  it('names the work that a stall consists of, without that of earlier turns', () => {
    const process = MonitoredProcess.create()
    process.monitor.recordWork('tick', 90)
    process.runTimer(INTERVAL_MS + 90)
    process.monitor.recordWork('workerListed', 3)
    process.monitor.recordWork('encodeSnapshot', 120)
    process.monitor.recordWork('workerListed', 80)
    process.runTimer(INTERVAL_MS + 230)
    assert.deepEqual(process.stalls, [{ workMs: 203, work: 'encodeSnapshot:120/1/120 workerListed:83/2/80' }])
  })
})

describe('the load line', () => {
  it('names the load of the process beside that of the cell, once per second', () => {
    const process = MonitoredProcess.create()
    const log = RecordingLog.create()
    const reporter = LoadReporter.create(log, process.monitor)
    const state = createClusterState()
    state.calledWorkers.set('worker', createWorker())
    for (let tick = 0; tick < 100; tick++) {
      process.runTimer(INTERVAL_MS + 5, 25)
      reporter.report(state, process.now)
    }
    assert.deepEqual(log.lines.map(({ event }) => event), ['cell_load', 'cell_load', 'cell_load'])
    assert.equal(log.lines[1].fields.busyPercent, 100)
    assert.equal(log.lines[1].fields.loopDelayMs, 5)
    assert.equal(log.lines[1].fields.capacityMillicores, 16_000)
  })
})

describe('the metrics of a leader', () => {
  it('count delays of the event loop', () => {
    const metrics = MetricsRegistry.create()
    metrics.recordLoopDelay(3)
    metrics.recordLoopDelay(700)
    assert.match(metrics.render(), /flamingorouter_loop_delay_ms_bucket\{le="5"\} 1\n/)
    assert.match(metrics.render(), /flamingorouter_loop_delay_ms_count\{\} 2\n/)
  })
})
