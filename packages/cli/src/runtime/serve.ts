/**
 * Runs the roles that the settings name, until a signal ends the process.
 */

import { describeCell, NO_FACTS } from '@flamingorouter/operators'
import { RpcServer, type CallRecord } from '@flamingorouter/rpc'
import { AccessControl } from '../core/access-control.js'
import { Metrics } from '../metrics/metrics.js'
import type { Settings } from '../types/settings.js'
import { ControllerNode } from './controller-node.js'
import { EntryNode } from './entry-node.js'
import { ALL_BINDINGS, ALL_METHODS } from './methods.js'
import { StreamLog, type RuntimeLog } from './runtime-log.js'

/** Exit code after a fault that the process cannot go on with. */
const FAULT_EXIT_CODE = 1

interface Running {
  controller?: ControllerNode
  entry?: EntryNode
}

/** Starts the roles and resolves when the process has been asked to stop and has stopped. */
export async function runServe (settings: Settings): Promise<void> {
  const log = StreamLog.create(settings.process, settings.log.level)
  const running: Running = {}
  const stopped = waitForStop(log, running)
  try {
    running.controller = await startController(settings, log)
    running.entry = await startEntry(settings, log)
  } catch (thrown) {
    log.error('start_failed', { error: String(thrown) })
    await stopAll(running)
    throw thrown
  }
  log.info('started', { controller: running.controller !== undefined, entry: running.entry !== undefined })
  await stopped
}

async function startController (settings: Settings, log: RuntimeLog): Promise<ControllerNode | undefined> {
  const { controller } = settings
  if (controller === undefined) return undefined
  return await ControllerNode.start({
    id: settings.process,
    group: settings.group,
    availabilityZone: settings.availabilityZone,
    dataFolder: controller.dataFolder,
    listen: controller.listen,
    bootstrap: listBootstrap(settings),
    timing: settings.timing,
    snapshotEvery: controller.snapshotEvery,
    limits: settings.limits,
    seed: seedOf(settings.process)
  }, {
    bindings: ALL_BINDINGS,
    log,
    faulted: () => { process.exit(FAULT_EXIT_CODE) }
  })
}

/** The first members, or none for a controller that is added to them later. */
function listBootstrap (settings: Settings): Array<Settings['controllers'][number] & { role: 'voter' }> {
  if (!settings.controllers.some(({ id }) => id === settings.process)) return []
  return settings.controllers.map(member => ({ ...member, role: 'voter' as const }))
}

async function startEntry (settings: Settings, log: RuntimeLog): Promise<EntryNode | undefined> {
  const { entry } = settings
  if (entry === undefined) return undefined
  const colon = entry.listen.lastIndexOf(':')
  return await EntryNode.start({
    process: settings.process,
    group: settings.group,
    availabilityZone: settings.availabilityZone,
    listen: { host: entry.listen.slice(0, colon), port: Number(entry.listen.slice(colon + 1)) },
    controllers: settings.controllers.map(({ address }) => address),
    readinessFallMs: entry.readinessFallMs
  }, {
    methods: ALL_METHODS,
    authenticate: admitLoopback(),
    log,
    observe: record => {
      if (record.failure === undefined) return
      log.info('call_refused', { method: record.name, actor: record.principal, kind: record.failure.kind, reason: record.failure.message })
    }
  })
}

/** The first signal stops gracefully, a second one at once. */
function waitForStop (log: RuntimeLog, running: Running): Promise<void> {
  return new Promise((resolve, reject) => {
    let isStopping = false
    const stop = (signal: string): void => {
      if (isStopping) process.exit(FAULT_EXIT_CODE)
      isStopping = true
      log.info('stopping', { signal })
      stopAll(running).then(() => {
        log.info('stopped')
        resolve()
      }, reject)
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  })
}

async function stopAll (running: Running): Promise<void> {
  await running.entry?.stop()
  await running.controller?.stop()
}

/** Differs between processes, so that their election timeouts do. */
function seedOf (name: string): number {
  let seed = 0
  for (const character of name) seed = (seed * 31 + character.charCodeAt(0)) | 0
  return seed
}
