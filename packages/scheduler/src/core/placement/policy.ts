/**
 * The effective policy of a workload: the one that it names, or, when it names
 * none, the default for its kind and firm. The built-in default of its kind
 * applies when that policy does not exist.
 */

import type { PolicyState } from '../../types/configuration.js'
import type { ClusterState } from '../../types/state.js'
import { Urgency, WorkloadKind, type WorkloadSpec } from '../../types/workloads.js'

export const StrategyName = Object.freeze({
  firstFit: 'first-fit',
  bestFit: 'best-fit',
  balance: 'balance',
  spread: 'spread'
} as const)
export type StrategyName = typeof StrategyName[keyof typeof StrategyName]

export interface EffectivePolicy {
  /** Empty for a built-in default. */
  name: string
  strategy: StrategyName
  /** Limit of tasks of the workload on one VM; 0 is no limit. */
  maxPerVm: number
  /** Limit of tasks of the workload in one rack; 0 is no limit. */
  maxPerRack: number
  /** True when the workload may preempt others of lower rank. */
  preempts: boolean
}

const STRATEGY_NAMES: ReadonlySet<string> = new Set(Object.values(StrategyName))

export function isStrategyName (name: string): name is StrategyName {
  return STRATEGY_NAMES.has(name)
}

/** Determines the effective policy of a workload. An unknown strategy is replaced by the built-in one. */
export function resolvePolicy (state: ClusterState, spec: WorkloadSpec): EffectivePolicy {
  const policy = findPolicy(state, spec)
  if (policy === undefined) return createBuiltInPolicy(spec)
  return {
    name: policy.name,
    strategy: isStrategyName(policy.strategy) ? policy.strategy : chooseBuiltInStrategy(spec),
    maxPerVm: policy.maxPerVm,
    maxPerRack: policy.maxPerRack,
    preempts: policy.preempts
  }
}

/** Of several default policies with the same precedence, the first by name applies. */
function findPolicy (state: ClusterState, spec: WorkloadSpec): PolicyState | undefined {
  if (spec.policy !== '') return state.policies.get(spec.policy)
  let best: PolicyState | undefined
  let bestRank = 0
  for (const policy of state.policies.values()) {
    const rank = rankDefaultPolicy(policy, spec)
    if (rank > bestRank || (rank === bestRank && best !== undefined && policy.name < best.name)) {
      best = policy
      bestRank = rank
    }
  }
  return best
}

/**
 * Precedence of a default policy: firm and kind, then firm alone, then kind alone; 0 when
 * the policy is not a default for the workload.
 */
function rankDefaultPolicy (policy: PolicyState, spec: WorkloadSpec): number {
  if (policy.kind === '' && policy.firm === '') return 0
  if (policy.kind !== '' && policy.kind !== spec.kind) return 0
  if (policy.firm !== '' && policy.firm !== spec.firm) return 0
  return (policy.firm !== '' ? 2 : 0) + (policy.kind !== '' ? 1 : 0)
}

function createBuiltInPolicy (spec: WorkloadSpec): EffectivePolicy {
  return {
    name: '',
    strategy: chooseBuiltInStrategy(spec),
    maxPerVm: 0,
    maxPerRack: 0,
    preempts: spec.urgency === Urgency.urgent
  }
}

function chooseBuiltInStrategy (spec: WorkloadSpec): StrategyName {
  return spec.kind === WorkloadKind.service ? StrategyName.spread : StrategyName.bestFit
}
