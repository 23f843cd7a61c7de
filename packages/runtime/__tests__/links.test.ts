/**
 * Links between controllers: a learner that has received no membership yet answers
 * over the link that the leader dialled, and a link to a silent peer is closed.
 */

import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm } from 'node:fs/promises'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { LinkDialler, LinkServer, type HelloFrame } from '@flamingorouter/controllers'
import { DEFAULT_LIMITS } from '@flamingorouter/scheduler'
import { ControllerLinks, ControllerNode, NoopLog, RuntimeLog } from '../src/index.js'

/** Longest wait of a test for a condition, in milliseconds; an election and a change of the membership take about one second. */
const WAIT_LIMIT_MS = 5_000

function createHello (process: string): HelloFrame {
  return { kind: 'hello', group: 'group', process, role: 'controller', availabilityZone: 'zone' }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  for (let waitedMs = 0; waitedMs < WAIT_LIMIT_MS && !isDone(); waitedMs += 10) await pause(10)
}

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  await new Promise(resolve => { server.close(resolve) })
  return port
}

/** Tells when another controller is reached. */
class ReachedLog extends RuntimeLog {
  readonly reached: Promise<void>
  private resolve: () => void = () => {}

  private constructor () {
    super()
    this.reached = new Promise(resolve => { this.resolve = resolve })
  }

  static create (): ReachedLog {
    return new ReachedLog()
  }

  override info (event: string): void {
    if (event === 'controller_reached') this.resolve()
  }

  override warn (): void {}
  override error (): void {}
}

describe('links between controllers', () => {
  describe('a learner without a membership', () => {
    it('answers over the link that the leader dialled', async () => {
      const learner = ControllerLinks.create(createHello('learner'), () => [])
      const server = LinkServer.create(createHello('learner'), {
        opened: link => { learner.add(link) },
        called: async () => undefined,
        replication: link => { learner.send(link.peer?.process ?? '', 'answer') },
        notice: () => {},
        closed: link => { learner.remove(link) }
      })
      const port = await server.listen({ host: '127.0.0.1', port: 0 })
      const members = [{ id: 'learner', address: `127.0.0.1:${port}`, availabilityZone: 'zone', role: 'learner' as const }]
      const leader = ControllerLinks.create(createHello('leader'), () => members)
      const answered = new Promise<[string, unknown]>(resolve => { leader.handleMessage = (from, message) => { resolve([from, message]) } })
      const timer = setInterval(() => { leader.send('learner', 'question') }, 10)
      assert.deepEqual(await answered, ['learner', 'answer'])
      clearInterval(timer)
      leader.close()
      learner.close()
      server.close()
    })
  })

  describe('the other members', () => {
    it('are dialled at the start, so that the first messages of an election are not dropped', async () => {
      const opened: string[] = []
      let receive: (message: unknown) => void = () => {}
      const received = new Promise(resolve => { receive = resolve })
      const server = LinkServer.create(createHello('other'), {
        opened: link => { opened.push(link.peer?.process ?? '') },
        called: async () => undefined,
        replication: (_link, message) => { receive(message) },
        notice: () => {},
        closed: () => {}
      })
      const port = await server.listen({ host: '127.0.0.1', port: 0 })
      const members = ['self', 'other'].map(id => ({ id, address: `127.0.0.1:${port}`, availabilityZone: 'zone', role: 'voter' as const }))
      const log = ReachedLog.create()
      const links = ControllerLinks.create(createHello('self'), () => members, undefined, undefined, log)
      links.dialMembers()
      await log.reached
      links.send('other', 'vote')
      assert.equal(await received, 'vote')
      assert.deepEqual(opened, ['self'])
      links.close()
      server.close()
    })
  })

  describe('a member that joins while the controllers run', () => {
    const nodes: ControllerNode[] = []
    let folder: string
    let server: LinkServer

    beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'links-')) })

    afterEach(async () => {
      for (const node of nodes.splice(0)) await node.kill()
      server.close()
      await rm(folder, { recursive: true })
    })

    it('is dialled by the followers as well, so that they reach it with the first message of an election', async () => {
      const openedBy = new Set<string>()
      server = LinkServer.create(createHello('joining'), {
        opened: link => { openedBy.add(link.peer?.process ?? '') },
        called: async () => undefined,
        replication: () => {},
        notice: () => {},
        closed: () => {}
      })
      const joiningPort = await server.listen({ host: '127.0.0.1', port: 0 })
      const bootstrap = await Promise.all(['one', 'two'].map(async id => ({ id, address: `127.0.0.1:${await findFreePort()}`, availabilityZone: 'zone', role: 'voter' as const })))
      for (const { id, address } of bootstrap) {
        nodes.push(await ControllerNode.start({
          id,
          group: 'group',
          availabilityZone: 'zone',
          dataFolder: join(folder, id),
          listen: address,
          bootstrap,
          timing: { heartbeatMs: 60, electionMs: 300, driftMs: 30 },
          snapshotEvery: 1_000,
          limits: DEFAULT_LIMITS,
          seed: id.length + id.charCodeAt(0)
        }, { bindings: [], log: NoopLog.create(), handleFault: reason => { assert.fail(reason) } }))
      }
      const findLeader = (): ControllerNode | undefined => nodes.find(({ controller }) => controller.isAuthoritative)
      await waitUntil(() => findLeader() !== undefined)
      await findLeader()?.replica.addMember({ id: 'joining', address: `127.0.0.1:${joiningPort}`, availabilityZone: 'zone', role: 'learner' })
      await waitUntil(() => openedBy.size === 2)
      assert.deepEqual([...openedBy].sort(), ['one', 'two'])
    })
  })

  describe('a peer that does not answer an attempt to connect', () => {
    it('is dialled again long before TCP repeats the attempt', async () => {
      // A process that listens and never accepts: once its queue is full, the kernel drops attempts to connect.
      const script = `require('net').createServer().listen(0, '127.0.0.1', 1, function () {
        require('fs').writeSync(1, String(this.address().port))
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20000)
      })`
      const child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'ignore'] })
      const [text] = await once(child.stdout, 'data') as [Buffer]
      const port = Number(text.toString())
      const fillers = Array.from({ length: 8 }, () => connect(port, '127.0.0.1').on('error', () => {}))
      await pause(100)
      const reason = await new Promise<string>(resolve => {
        const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('entry'), {
          opened: () => {},
          called: async () => undefined,
          replication: () => {},
          notice: () => {},
          closed: (_link, cause) => {
            dialler.close()
            resolve(cause)
          }
        })
      })
      for (const filler of fillers) filler.destroy()
      child.kill('SIGKILL')
      assert.equal(reason, 'not connected within 300 ms')
    })
  })

  describe('a peer that goes silent without a reset', () => {
    it('has its link closed, so that another one can be opened', async () => {
      // Echoes the hello and keeps reading, but sends no further bytes.
      const sockets: Socket[] = []
      const silent: Server = createServer(socket => {
        sockets.push(socket)
        socket.once('data', chunk => { socket.write(chunk) })
        socket.on('error', () => {})
      })
      await new Promise<void>(resolve => { silent.listen(0, '127.0.0.1', resolve) })
      const { port } = silent.address() as { port: number }
      const closed = new Promise<string>(resolve => {
        const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('leader'), {
          opened: () => {},
          called: async () => undefined,
          replication: () => {},
          notice: () => {},
          closed: (_link, reason) => {
            dialler.close()
            resolve(reason)
          }
        })
      })
      assert.equal(await closed, 'no data arrived over the link within the silence timeout')
      for (const socket of sockets) socket.destroy()
      silent.close()
    })
  })
})
