/**
 * Answers to repeated orders that the committed state already gives. What is committed is never undone, so any
 * process that knows of the commit may acknowledge the order, without the leader.
 */

import type { Answer } from '../../types/answers.js'
import type { Event } from '../../types/events.js'
import type { CellConfiguration } from '../../types/jobs.js'
import type { ClusterState } from '../../types/state.js'
import { findWaveFault } from './upkeep/upkeep.js'
import { findAccountFault } from './accounts/account-changes.js'

type OrderOf<Kind extends Event['kind']> = Omit<Extract<Event, { kind: Kind }>, 'call'>

/** The orders that a state may answer. */
export type RepeatableOrder = OrderOf<'configureCell'> | OrderOf<'startUpkeepWave'> | OrderOf<'workerReported'>

/** The answer to an order that is carried out in this state, all of which is committed; undefined if only the leader can tell. */
export function findCommittedAnswer (order: RepeatableOrder, state: ClusterState): Answer | undefined {
  switch (order.kind) {
    case 'configureCell': return findConfigurationAnswer(order.cell, state.cell?.version ?? -1)
    case 'startUpkeepWave':
      return state.upkeepWaves.has(order.id) && findWaveFault(order) === '' ? { kind: 'upkeepWave', isKnown: true, isOver: false } : undefined
    case 'workerReported': {
      const { id, incarnation, isDraining } = order.worker
      const known = state.calledWorkers.get(id)
      return isDraining && known?.incarnation === incarnation && known.isDraining ? { kind: 'workerKnown' } : undefined
    }
  }
}

/** The answer to a valid configuration that is not above the version in force; undefined for any other. */
export function findConfigurationAnswer (cell: CellConfiguration, version: number): Answer | undefined {
  if (cell.version > version || findAccountFault(cell.accounts ?? []) !== '') return undefined
  return { kind: 'cell', version, document: '' }
}
