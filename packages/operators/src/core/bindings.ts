/**
 * Every binding of the operator service. GetConfigurationStatus, ListMembers, AddMember and
 * RemoveMember need more than the cluster state and are served without a binding.
 */

import type { Binding } from '@flamingorouter/rpc'
import { cellBindings } from './cell.js'
import { configurationBindings } from './configuration.js'
import { workloadBindings } from './workloads.js'

export const operatorBindings: readonly Binding[] = [...workloadBindings, ...configurationBindings, ...cellBindings]
