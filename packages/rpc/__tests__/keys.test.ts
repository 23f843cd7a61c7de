/**
 * TLS between a server and its clients.
 */

import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { operatorMethods } from '@flamingorouter/operators'
import { ErrorKind, Failure } from '@flamingorouter/scheduler'
import { OperatorService, type ListTeamsResponse } from '@flamingorouter/schema'
import { generate } from 'selfsigned'
import { admitLoopback, RpcClient, RpcServer, type Keys } from '../src/index.js'

const LIST_TEAMS = 'flamingorouter.operators.v1.OperatorService/ListTeams'

async function createKeys (authority?: string): Promise<Keys> {
  const { cert, private: key } = await generate([{ name: 'commonName', value: '127.0.0.1' }], {
    keySize: 2048,
    algorithm: 'sha256',
    extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }]
  })
  return { certificate: cert, key, authority }
}

describe('keys', () => {
  let first: Keys
  let second: Keys
  let port: number
  let server: RpcServer

  function createServer (keys: Keys): RpcServer {
    return RpcServer.create({
      methods: operatorMethods,
      handlers: new Map([[LIST_TEAMS, async () => new Uint8Array()]]),
      authenticate: admitLoopback(),
      keys
    })
  }

  before(async () => {
    first = await createKeys()
    second = await createKeys()
    server = createServer(first)
    port = await server.listen({ host: '127.0.0.1', port: 0 })
  })

  after(async () => { await server.close() })

  /** One call on a connection of its own. */
  async function call (options: Parameters<typeof RpcClient.create>[0], at = port): Promise<ListTeamsResponse> {
    const client = RpcClient.create(options)
    try {
      return await client.call(`127.0.0.1:${at}`, OperatorService.method.listTeams, create(OperatorService.method.listTeams.input))
    } finally {
      await client.destroy()
    }
  }

  function isUnavailable (error: unknown): boolean {
    return error instanceof Failure && error.kind === ErrorKind.unavailable
  }

  it('serve clients that trust them, and count the bytes', async () => {
    const { teams } = await call({ tls: { authority: first.certificate } })
    assert.deepEqual(teams, [])
    assert.ok(server.traffic.received > 0 && server.traffic.sent > 0)
  })

  it('turn away clients without TLS and clients that trust another', async () => {
    await assert.rejects(call({}), isUnavailable)
    await assert.rejects(call({ tls: { authority: second.certificate } }), isUnavailable)
  })

  it('are replaced without a stop', async () => {
    server.replaceKeys(second)
    await call({ tls: { authority: second.certificate } })
    await assert.rejects(call({ tls: { authority: first.certificate } }), isUnavailable)
  })

  it('of clients are asked for when an authority is named', async () => {
    const client = await createKeys()
    const strict = createServer({ ...second, authority: client.certificate })
    const at = await strict.listen({ host: '127.0.0.1', port: 0 })
    await assert.rejects(call({ tls: { authority: second.certificate } }, at), isUnavailable)
    await call({ tls: { authority: second.certificate, certificate: client.certificate, key: client.key } }, at)
    await strict.close()
  })
})
