/**
 * Validation and access rules for the methods of the target service.
 */

import {
  address, all, checkNonZeroResources, checkReason, checkResources, choice, each, fields, identifier, integer, name, oneOfFields,
  optional, required, Role, type MethodRules
} from '@flamingorouter/rpc'
import {
  TargetService, TaskResultSchema, type AnnounceRequest, type LeaveRequest, type RenewRequest, type RunnerFacts,
  type TaskEnd, type TaskUsage, type WorkerFacts
} from '@flamingorouter/schema'

const MAX_SLOTS = 1_024
const MAX_CONNECTIONS = 65_536
const MAX_REPORTED_TASKS = 10_000
const TARGET_ROLES: readonly Role[] = [Role.target]

/** Rules of every method of the target service. */
export const targetMethodRules: readonly MethodRules[] = [
  {
    method: TargetService.method.announce,
    roles: TARGET_ROLES,
    check: all(
      fields<AnnounceRequest>({
        name: name(),
        incarnation: integer(0),
        vm: name(),
        rack: optional(name()),
        availabilityZone: name(),
        address: address(),
        worker: optional(fields<WorkerFacts>({ capacity: required(checkNonZeroResources) })),
        runner: optional(fields<RunnerFacts>({
          service: name(),
          slots: integer(1, MAX_SLOTS),
          connections: integer(1, MAX_CONNECTIONS)
        }))
      }),
      oneOfFields<AnnounceRequest>(['worker', 'runner'])
    )
  },
  {
    method: TargetService.method.renew,
    roles: TARGET_ROLES,
    check: fields<RenewRequest>({
      session: identifier(),
      name: name(),
      running: each(fields<TaskUsage>({
        task: identifier(),
        attempt: integer(1),
        usage: optional(checkResources)
      }), MAX_REPORTED_TASKS),
      ended: each(fields<TaskEnd>({
        task: identifier(),
        attempt: integer(1),
        result: choice(TaskResultSchema),
        reason: checkReason,
        runMs: integer(0)
      }), MAX_REPORTED_TASKS)
    })
  },
  {
    method: TargetService.method.leave,
    roles: TARGET_ROLES,
    check: fields<LeaveRequest>({ session: identifier(), name: name(), reason: checkReason })
  }
]
