/**
 * List of all measures, in the order in which they run.
 */

import type { Measure } from '../registry.js'
import { packing } from './packing.js'
import { endToEndMeasures } from './whole-path.js'
import { decisionTime, placementGrowth, placementRate } from './placement.js'
import { fairness, urgentStart, waitingCoastline, waitingConsortium } from './waiting.js'
import { calledLoad, calledLoadLarge } from './called.js'
import { entryRate } from './flow.js'
import { requestWaiting, retryStorm } from './requests.js'

export const MEASURES: readonly Measure[] = [
  placementRate,
  decisionTime,
  placementGrowth,
  ...packing,
  urgentStart,
  waitingCoastline,
  waitingConsortium,
  fairness,
  requestWaiting,
  retryStorm,
  entryRate,
  calledLoad,
  calledLoadLarge,
  ...endToEndMeasures
]
