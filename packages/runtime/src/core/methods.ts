/**
 * Rules of all methods that an entry serves, and all bindings that a leader answers.
 */

import { callerBindings, callerMethodRules } from '@flamingorouter/callers'
import { operatorBindings, operatorMethodRules } from '@flamingorouter/operators'
import { platformBindings, platformMethodRules } from '@flamingorouter/vm-facts'
import type { Binding, MethodRules } from '@flamingorouter/rpc'
import { targetBindings, targetMethodRules } from '@flamingorouter/targets'

export const ALL_METHOD_RULES: readonly MethodRules[] = [...callerMethodRules, ...operatorMethodRules, ...targetMethodRules, ...platformMethodRules]

export const ALL_BINDINGS: readonly Binding[] = [...callerBindings, ...operatorBindings, ...targetBindings, ...platformBindings]
