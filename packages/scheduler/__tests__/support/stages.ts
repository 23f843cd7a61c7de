/**
 * Creates stages for tests: by default one small task without constraints.
 */

import type { StageSpec } from '../../src/index.js'

export function createStage (stage: Partial<StageSpec> = {}): StageSpec {
  return {
    taskCount: 1,
    resources: { millicores: 4_000, memoryMib: 4_096, accelerators: 0 },
    estimateMs: 500,
    dependsOn: [],
    checkpoints: false,
    gang: false,
    rackLocal: false,
    requiredLabel: '',
    dataRack: '',
    perWorkerLimit: 0,
    speculative: false,
    longRunning: false,
    image: '',
    targetMs: 0,
    fills: false,
    disruptionBudget: 0,
    ...stage
  }
}
