/**
 * All measures, in the order in which they run.
 */

import type { Measure } from '../registry.js'
import { decisionTime, placementGrowth, placementRate } from './placement.js'

export const MEASURES: readonly Measure[] = [
  placementRate,
  decisionTime,
  placementGrowth
]
