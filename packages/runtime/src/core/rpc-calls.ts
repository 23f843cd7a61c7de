/**
 * Answers the RPCs that entries forward to the leader: by a local method, by an event
 * of the scheduler, or by a read of the replicated state.
 */

import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { createHash } from 'node:crypto'
import type { ForwardedCall } from '@flamingorouter/controllers'
import type { Binding, CallContext } from '@flamingorouter/rpc'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import { clusterNow } from './clock.js'
import type { Controller } from './controller.js'
import type { LocalMethod } from './local-methods.js'
import type { StateWatches } from './state-watches.js'

export class RpcCalls {
  private readonly bindings = new Map<string, Binding>()

  private constructor (
    private readonly controller: Controller,
    bindings: readonly Binding[],
    private readonly localMethods: ReadonlyMap<string, LocalMethod>,
    private readonly watches: StateWatches
  ) {
    for (const binding of bindings) {
      this.bindings.set(`${binding.method.parent.typeName}/${binding.method.name}`, binding)
    }
  }

  /** `localMethods` are those that need more than the replicated state, by full RPC name. */
  static create (controller: Controller, bindings: readonly Binding[], localMethods: ReadonlyMap<string, LocalMethod>, watches: StateWatches): RpcCalls {
    return new RpcCalls(controller, bindings, localMethods, watches)
  }

  async answer (entry: string, method: string, body: ForwardedCall): Promise<Uint8Array> {
    const context = this.createContext(entry, body)
    const local = this.localMethods.get(method)
    if (local !== undefined) return await local(body.request, context, this.controller)
    const binding = this.bindings.get(method)
    if (binding === undefined) fail(ErrorKind.unimplemented, `no method ${method}`)
    const request = fromBinary(binding.method.input, body.request)
    if (binding.kind === 'event') {
      const answer = await this.controller.ask(call => binding.toEvent(request, { ...context, call }))
      return toBinary(binding.method.output, binding.toResponse(answer, request))
    }
    const waitMs = binding.waitMs?.(request) ?? 0
    if (waitMs > 0 && binding.isChanged !== undefined) {
      const isChanged = binding.isChanged
      await this.watches.wait(state => isChanged(request, state), waitMs, this.controller.state)
    }
    const response = toBinary(binding.method.output, binding.read(request, context, this.controller.state))
    await this.controller.barrier()
    return response
  }

  private createContext (entry: string, body: ForwardedCall): CallContext {
    return {
      // A method that is an event replaces this by the number of its pending call.
      call: 0,
      actor: body.actor,
      team: body.team,
      entry,
      now: clusterNow(),
      digest: createHash('sha256').update(body.request).digest('hex')
    }
  }
}
