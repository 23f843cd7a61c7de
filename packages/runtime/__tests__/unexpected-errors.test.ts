/**
 * Errors that nobody expects: one bad call fails alone, and a controller whose state
 * may differ from the log does not go on.
 */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { encodeValue, InternalMethod, LinkServer, type CallFrame, type Link, type Replica } from '@flamingorouter/controllers'
import { RpcServer } from '@flamingorouter/rpc'
import { Component, Scheduler, toFailure, type Event, type Step } from '@flamingorouter/scheduler'
import { computeSessionFence, Controller, handleUnexpectedErrors, NoopLog, RuntimeLog, type ErrorSource } from '../src/index.js'

const FENCES_PER_TERM = 10_000_000

/** Fails on each call, after a decision if the path of the call says so, and on each tick. */
class FailingComponent extends Component {
  readonly handledKinds = ['readJob'] as const

  static create (): FailingComponent {
    return new FailingComponent()
  }

  override reset (): void {}

  override handle (event: Event, step: Step): void {
    if (event.kind === 'readJob' && event.path === '/decided') step.decide({ kind: 'changeForgotten', key: 'any' })
    throw new TypeError('not a function')
  }

  override tick (): void {
    throw new TypeError('not a function')
  }
}

function createController (): { controller: Controller, faults: string[], read: (path: string) => Promise<unknown> } {
  const faults: string[] = []
  const controller = Controller.create({
    scheduler: Scheduler.create([FailingComponent.create()]),
    bindings: [],
    localMethods: new Map(),
    log: NoopLog.create(),
    handleFault: reason => { faults.push(reason) }
  })
  controller.attach({ holdsLease: () => true, sustain: () => {}, propose: () => 1, status: () => ({ term: 1, leader: 'self', members: [] }) } as unknown as Replica)
  controller.startLeading(1)
  const read = (path: string): Promise<unknown> => {
    const frame: CallFrame = { kind: 'call', id: 1, method: InternalMethod.job, body: { kind: 'readJob', host: 'h', path } }
    return controller.handleCall({ peer: undefined } as unknown as Link, frame)
  }
  return { controller, faults, read }
}

/** Collects the names of the logged errors. */
class ErrorLog extends RuntimeLog {
  readonly errors: string[] = []

  static create (): ErrorLog {
    return new ErrorLog()
  }

  override info (): void {}
  override warn (): void {}

  override error (event: string): void {
    this.errors.push(event)
  }
}

describe('an unexpected error', () => {
  describe('in the scheduler', () => {
    it('fails only the call that caused it when nothing was decided', async () => {
      const { read, faults } = createController()
      await assert.rejects(read('/undecided'), thrown => toFailure(thrown).kind === 'internal')
      assert.deepEqual(faults, [])
    })

    it('stops the controller after a decision, since the decision is in the state and not in the log', async () => {
      const { read, faults } = createController()
      await assert.rejects(read('/decided'))
      assert.equal(faults.length, 1)
    })

    it('stops the controller when no caller waits for the event', () => {
      const { controller, faults } = createController()
      assert.throws(() => { controller.tick() })
      assert.equal(faults.length, 1)
    })

    it('stops a follower that cannot apply an entry', () => {
      const { controller, faults } = createController()
      assert.throws(() => { controller.applyEntry(7, encodeValue([null]), false) })
      assert.equal(faults.length, 1)
    })
  })

  describe('in a process', () => {
    it('is logged; a rejected promise ends nothing, an uncaught exception ends the process', async () => {
      const log = ErrorLog.create()
      const handlers = new Map<string, (thrown: unknown) => void>()
      const exited = new Promise<number>(resolve => {
        const source: ErrorSource = { on: (event, handle) => handlers.set(event, handle), exit: resolve }
        handleUnexpectedErrors(source, log)
      })
      handlers.get('unhandledRejection')?.(new Error('lost'))
      handlers.get('uncaughtException')?.('not even an error')
      assert.equal(await exited, 1)
      assert.deepEqual(log.errors, ['unhandled_rejection', 'uncaught_exception'])
    })
  })

  describe('of a server that cannot accept a connection', () => {
    const error = Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' })

    it('is reported and ends neither a server of links', async () => {
      const reported: Error[] = []
      const server = LinkServer.create({ kind: 'hello', group: 'g', process: 'p', role: 'entry', availabilityZone: 'a' }, { opened: () => {}, called: async () => undefined, replication: () => {}, notice: () => {}, closed: () => {} })
      server.handleError = reason => { reported.push(reason) }
      await server.listen({ host: '127.0.0.1', port: 0 })
      const { server: inner } = server as unknown as { server: NodeJS.EventEmitter }
      for (let count = 0; count < 2; count++) inner.emit('error', error)
      server.close()
      assert.deepEqual(reported, [error, error])
    })

    it('nor a server of RPCs', async () => {
      const reported: Error[] = []
      const server = RpcServer.create({ methodRules: [], handlers: new Map(), authenticate: () => { throw error }, handleError: reason => { reported.push(reason) } })
      await server.listen({ host: '127.0.0.1', port: 0 })
      const { server: inner } = server as unknown as { server: NodeJS.EventEmitter }
      for (let count = 0; count < 2; count++) inner.emit('error', error)
      await server.close()
      assert.deepEqual(reported, [error, error])
    })
  })
})

describe('the fencing token of a session', () => {
  it('stays below those of the next term, however many sessions a term has', () => {
    const [first, last, beyond] = [1, FENCES_PER_TERM - 1, 3 * FENCES_PER_TERM].map(session => computeSessionFence(4, session))
    assert.ok(first < last)
    assert.equal(beyond, last)
    assert.ok(beyond < computeSessionFence(5, 1))
  })
})
