/**
 * Links between processes: framing, calls and authentication.
 */

import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { generate } from 'selfsigned'
import { toFailure } from '@flamingorouter/scheduler'
import {
  encodeFrame, FrameReader, Link, LinkDialler, LinkServer, type Frame, type HelloFrame, type LinkHandlers, type PeerKeys
} from '../src/index.js'

function createHello (process: string, group = 'group'): HelloFrame {
  return { kind: 'hello', group, process, role: 'controller', availabilityZone: 'zone' }
}

/** Link handlers that echo calls, and promises of the first link that opens and of the reason why the first link closes. */
class LinkObserver {
  opened!: Promise<Link>
  closed!: Promise<string>
  readonly handlers: LinkHandlers

  constructor () {
    let open: (link: Link) => void = () => {}
    let close: (reason: string) => void = () => {}
    this.opened = new Promise(resolve => { open = resolve })
    this.closed = new Promise(resolve => { close = resolve })
    this.handlers = {
      opened: link => { open(link) },
      called: async (_link, { body }) => body,
      replication: () => {},
      notice: () => {},
      closed: (_link, reason) => { close(reason) }
    }
  }
}

async function listen (observer: LinkObserver, keys?: PeerKeys): Promise<{ server: LinkServer, port: number }> {
  const server = LinkServer.create(createHello('server'), observer.handlers, keys)
  return { server, port: await server.listen({ host: '127.0.0.1', port: 0 }) }
}

describe('framing', () => {
  it('decodes the same frames regardless of how the stream is split into chunks', () => {
    const frames: Frame[] = [createHello('a'), { kind: 'call', id: 1, method: 'm', body: new Uint8Array(300) }]
    const stream = Buffer.concat(frames.map(encodeFrame))
    for (const size of [1, 3, 7, 1_000]) {
      const decoded: Frame[] = []
      const reader = FrameReader.create()
      for (let offset = 0; offset < stream.length; offset += size) reader.push(stream.subarray(offset, offset + size), frame => { decoded.push(frame) })
      assert.deepEqual(decoded.map(({ kind }) => kind), ['hello', 'call'])
      assert.deepEqual(decoded[0], frames[0])
    }
  })

  it('refuses a frame of length zero, one over the limit, and one without a kind', () => {
    const oversized = Buffer.from([0x7f, 0xff, 0xff, 0xff])
    const withoutKind = Buffer.from([0, 0, 0, 1, 0x01])
    for (const bytes of [Buffer.alloc(4), oversized, withoutKind]) {
      assert.throws(() => { FrameReader.create().push(bytes, () => {}) }, thrown => toFailure(thrown).kind === 'invalidArgument')
    }
  })
})

describe('links', () => {
  it('are closed when malformed bytes arrive, while the server keeps serving others', async () => {
    const serverObserver = new LinkObserver()
    const { server, port } = await listen(serverObserver)
    const malformedClient = connect(port, '127.0.0.1')
    malformedClient.end('GET / HTTP/1.1\r\n\r\n')
    assert.match(await serverObserver.closed, /frame length/)
    const peer = new LinkObserver()
    const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('peer'), peer.handlers)
    const link = await peer.opened
    assert.deepEqual(await link.call('echo', { a: 1 }, 5_000), { a: 1 })
    dialler.close()
    server.close()
  })

  it('count the same bytes at both ends', async () => {
    const serverObserver = new LinkObserver()
    const serverTraffic = serverObserver.handlers.traffic = { received: 0, sent: 0 }
    const { server, port } = await listen(serverObserver)
    const peer = new LinkObserver()
    const diallerTraffic = peer.handlers.traffic = { received: 0, sent: 0 }
    const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('peer'), peer.handlers)
    await (await peer.opened).call('echo', new Uint8Array(1_000), 5_000)
    assert.ok(diallerTraffic.sent > 1_000 && diallerTraffic.received > 1_000)
    assert.deepEqual(serverTraffic, { received: diallerTraffic.sent, sent: diallerTraffic.received })
    dialler.close()
    server.close()
  })

  it('are refused to a peer of another group', async () => {
    const serverObserver = new LinkObserver()
    const { server, port } = await listen(serverObserver)
    const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('peer', 'other'), new LinkObserver().handlers)
    assert.match(await serverObserver.closed, /group other is not group/)
    dialler.close()
    server.close()
  })

  it('read an answer that arrived while this process was held up for longer than the time limit of the call', async () => {
    const answering = new LinkObserver()
    answering.handlers.called = async (_link, { body }) => {
      // An immediate runs after the answer was written, and before it is read.
      setImmediate(() => { for (const startedAt = performance.now(); performance.now() - startedAt < 200;); })
      return body
    }
    const { server, port } = await listen(answering)
    const calling = new LinkObserver()
    const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('client'), calling.handlers)
    const link = await calling.opened
    assert.equal(await link.call('method', 'body', 50), 'body')
    dialler.close()
    server.close()
  })

  it('wait for an answer until the time limit, also when the call was made late in a long turn', async () => {
    const answering = new LinkObserver()
    answering.handlers.called = async () => await new Promise(() => {})
    const { server, port } = await listen(answering)
    const calling = new LinkObserver()
    const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('client'), calling.handlers)
    const link = await calling.opened
    for (const turnStartedAt = performance.now(); performance.now() - turnStartedAt < 100;);
    const calledAt = performance.now()
    await assert.rejects(link.call('never', {}, 190), thrown => toFailure(thrown).kind === 'deadlineExceeded')
    const waitedMs = performance.now() - calledAt
    dialler.close()
    server.close()
    assert.ok(waitedMs >= 190, `waited ${waitedMs} ms`)
  })

  it('reject pending calls with deadlineExceeded when they close', async () => {
    const serverObserver = new LinkObserver()
    const { server, port } = await listen(serverObserver)
    serverObserver.handlers.called = async () => await new Promise(() => {})
    const peer = new LinkObserver()
    const dialler = LinkDialler.create(`127.0.0.1:${port}`, createHello('peer'), peer.handlers)
    const link = await peer.opened
    const call = link.call('never', {}, 60_000)
    server.close()
    await assert.rejects(call, thrown => toFailure(thrown).kind === 'deadlineExceeded')
    dialler.close()
  })
})

describe('links with keys', () => {
  let authority: PeerKeys
  let otherAuthority: PeerKeys

  async function sign (name: string, signer?: PeerKeys): Promise<PeerKeys> {
    const { cert, private: key } = await generate([{ name: 'commonName', value: name }], {
      ca: signer === undefined ? undefined : { cert: signer.certificate, key: signer.key },
      extensions: [
        { name: 'basicConstraints', cA: signer === undefined },
        { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }
      ]
    })
    return { certificate: cert, key, authority: signer?.certificate ?? cert }
  }

  before(async () => {
    authority = await sign('authority')
    otherAuthority = await sign('foreign authority')
  })

  let server: LinkServer
  let serverObserver: LinkObserver
  let port: number
  before(async () => {
    serverObserver = new LinkObserver()
    const served = await listen(serverObserver, await sign('server', authority))
    server = served.server
    port = served.port
  })
  after(() => { server.close() })

  function dial (name: string, keys: PeerKeys | undefined): { peer: LinkObserver, dialler: LinkDialler } {
    const peer = new LinkObserver()
    return { peer, dialler: LinkDialler.create(`127.0.0.1:${port}`, createHello(name), peer.handlers, () => keys) }
  }

  it('are accepted from a process that presents its own certificate of the authority', async () => {
    const { peer, dialler } = dial('peer', await sign('peer', authority))
    const link = await peer.opened
    assert.equal(link.peer?.process, 'server')
    dialler.close()
  })

  it('are refused with a certificate of another authority, with one of another name, and without TLS', async () => {
    const keysOfOtherAuthority = { ...await sign('peer', otherAuthority), authority: authority.certificate }
    const keysOfOtherProcess = await sign('entry-1', authority)
    for (const keys of [keysOfOtherAuthority, keysOfOtherProcess, undefined]) {
      const { peer, dialler } = dial('peer', keys)
      const outcome = await Promise.race([peer.closed, peer.opened.then(link => link.call('echo', {}, 5_000)).catch(() => 'refused')])
      assert.equal(typeof outcome, 'string')
      dialler.close()
    }
  })

  it('use the new keys when they are opened after a replacement of the keys', async () => {
    server.replaceKeys(await sign('renamed', authority))
    const { peer, dialler } = dial('peer', await sign('peer', authority))
    assert.match(await peer.closed, /certificate of renamed is shown by server/)
    server.replaceKeys(await sign('server', authority))
    dialler.close()
  })
})
