/**
 * Validation and access rules for the methods of the platform service.
 */

import { choice, fields, identifier, integer, name, optional, Role, type MethodRules } from '@flamingorouter/rpc'
import { PlatformService, VmNoticeSchema, type NotifyVmRequest } from '@flamingorouter/schema'

const MAX_NOTICE_PERIOD_MS = 7 * 24 * 3_600_000

/** Rules of every method of the platform service. */
export const platformMethodRules: readonly MethodRules[] = [{
  method: PlatformService.method.notifyVm,
  check: fields<NotifyVmRequest>({
    requestId: optional(identifier()),
    vm: name(),
    notice: choice(VmNoticeSchema),
    inMs: integer(0, MAX_NOTICE_PERIOD_MS)
  }),
  roles: [Role.platform, Role.operator]
}]
