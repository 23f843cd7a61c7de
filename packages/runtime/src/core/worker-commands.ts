/**
 * Sends the leader's commands from an entry to a worker.
 */

import { create } from '@bufbuild/protobuf'
import type { ExecuteAnswer, ExecuteBody } from '@flamingorouter/controllers'
import type { RpcClient } from '@flamingorouter/rpc'
import type { Command } from '@flamingorouter/scheduler'
import { ExecuteRequestSchema, WorkerService, type Command as CommandMessage } from '@flamingorouter/schema'

/** How long a worker may take to answer, in milliseconds. */
const WORKER_TIMEOUT_MS = 1_500

type Action = CommandMessage['action']

function toAction (command: Command): Action {
  const { action } = command
  switch (action.kind) {
    case 'start': return {
      case: 'start',
      value: {
        $typeName: 'flamingorouter.targets.v1.Start',
        workload: action.workload,
        resources: { $typeName: 'flamingorouter.common.v1.Resources', ...action.resources },
        payload: action.payload as Uint8Array<ArrayBuffer>
      }
    }
    case 'stop': return { case: 'stop', value: { $typeName: 'flamingorouter.targets.v1.Stop', graceMs: action.graceMs } }
    case 'checkpoint': return {
      case: 'checkpoint',
      value: { $typeName: 'flamingorouter.targets.v1.Checkpoint', graceMs: action.graceMs }
    }
    case 'throttle': return {
      case: 'throttle',
      value: { $typeName: 'flamingorouter.targets.v1.Throttle', millicores: action.millicores }
    }
  }
}

/** Sends the commands in one call and returns the worker's results; rejects when the call fails or times out. */
export async function executeOnWorker (client: RpcClient, body: ExecuteBody): Promise<ExecuteAnswer> {
  const request = create(ExecuteRequestSchema, {
    session: body.session,
    fence: BigInt(body.fence),
    commands: body.commands.map(command => ({
      task: command.task,
      attempt: command.attempt,
      action: toAction(command)
    }))
  })
  const response = await client.call(body.address, WorkerService.method.execute, request, { timeoutMs: WORKER_TIMEOUT_MS })
  return {
    results: response.results.map(({ task, attempt, accepted, reason }) => ({ task, attempt, accepted, reason }))
  }
}
