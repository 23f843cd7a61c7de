/**
 * Draws the jobs of a simulated load: their stages, the real run time of each task,
 * the declared one, the objective and the credit.
 */

import type { JobQueue, JobSpec, StageSpec } from '../../packages/scheduler/src/index.js'
import type { Random } from './random.js'

/** A queue and the jobs that callers submit to it. */
export interface JobClass {
  queue: JobQueue
  /** Name of the client account that submits the jobs, and digest of its key; absent for callers without a key. */
  account?: string
  jobsPerSecond: number
  /** Credit for a job with the mean amount of work. */
  credit: number
  /** Mean number of stages, from 1 to 2. */
  stages: number
  /** Approximate mean number of tasks of a stage. */
  tasksPerStage: number
  /** Approximate mean run time of a task, in milliseconds. */
  taskMs: number
  /** Upper limit of the run time of a task, in milliseconds. */
  maxTaskMs: number
  millicores: number
  memoryMib: number
  /** Share of jobs whose stages are gangs. */
  gangShare: number
  /** Share of jobs whose tasks save checkpoints. */
  checkpointShare: number
  /** Share of tasks whose first run fails. */
  failureShare: number
  /** Share of workers that the admission service allows for a stage. */
  allowedShare: number
  /** Standard deviation of the logarithm of the declared run time over the real one; absent for a declared time that is off by 0.3 at most. */
  estimateDeviation?: number
  /** Factor by which declared times are off on average; 1 when absent. */
  declaredFactor?: number
  /** Share of tasks, or of gangs, that take LONG_FACTOR times as long as the rest; 0 when absent. */
  longShare?: number
  /** Returns the factor by which the work of tasks that are submitted at a time is multiplied; their declared times stay. */
  workFactor?: (now: number) => number
}

/** Standard deviation of the logarithm of the run time of a task. */
const WORK_DEVIATION = 0.45
/** Standard deviation of the logarithm of the number of tasks of a stage. */
const SIZE_DEVIATION = 0.6
/** Multiple of its usual run time that a long task takes; see `longShare`. */
const LONG_FACTOR = 7
/** Share of the credit of a mean job that each job has regardless of its work; the rest is proportional to its work. */
const FIXED_CREDIT_SHARE = 0.3
/** Upper limit of the credit of a job, as a multiple of the credit of a mean job. */
const MAX_CREDIT_FACTOR = 4

/** A job with the real run time of each task in milliseconds, by stage and index. */
export interface DrawnJob { jobClass: JobClass, objectiveMs: number, credit: number, spec: JobSpec, savesCheckpoints: boolean, taskWorkMs: number[][] }

/** Size of the workers, which limits the size of a task. */
interface WorkerSize { workerMillicores: number, workerMemoryMib: number }

/** Draws a job that is submitted at a time. */
export function drawJob (jobClass: JobClass, random: Random, size: WorkerSize, now: number): DrawnJob {
  const savesCheckpoints = random.sampleFraction() < jobClass.checkpointShare
  const gang = random.sampleFraction() < jobClass.gangShare
  const stages: StageSpec[] = []
  const taskWorkMs: number[][] = []
  const stageCount = 1 + (random.sampleFraction() < jobClass.stages - 1 ? 1 : 0)
  for (let stage = 0; stage < stageCount; stage++) {
    // A log-normal sample is drawn by its median, which is below the mean; hence the factors below 1.
    const taskCount = Math.max(1, Math.round(random.sampleLogNormal(jobClass.tasksPerStage * 0.8, SIZE_DEVIATION)))
    const taskMs = Math.min(jobClass.maxTaskMs, random.sampleLogNormal(jobClass.taskMs * 0.9, WORK_DEVIATION))
    const factor = (jobClass.workFactor?.(now) ?? 1) * (gang ? drawLongFactor(jobClass, random) : 1)
    taskWorkMs.push(Array.from({ length: taskCount }, () => factor * taskMs * (gang ? 1 : (0.85 + 0.3 * random.sampleFraction()) * drawLongFactor(jobClass, random))))
    stages.push(drawStage(jobClass, random, size, { stage, taskCount, taskMs, gang, checkpoints: savesCheckpoints }))
  }
  const criticalPathMs = taskWorkMs.reduce((sum, tasks) => sum + Math.max(...tasks), 0)
  const { admission, stretch, targetMs } = jobClass.queue
  // The objective of a job allows for one admission query about 30 workers per stage.
  const admissionMs = admission === undefined ? 0 : stageCount * (admission.decideMs + 30 * admission.perWorkerMs)
  const work = stages.reduce((sum, stage, index) => sum + stage.resources.millicores * taskWorkMs[index].reduce((total, ms) => total + ms, 0), 0)
  const meanWork = jobClass.stages * jobClass.tasksPerStage * jobClass.taskMs * jobClass.millicores
  const credit = jobClass.credit * Math.min(MAX_CREDIT_FACTOR, FIXED_CREDIT_SHARE + (1 - FIXED_CREDIT_SHARE) * work / meanWork)
  return { jobClass, objectiveMs: stretch * (criticalPathMs + admissionMs) + targetMs, credit, spec: { payload: '', stages }, savesCheckpoints, taskWorkMs }
}

interface StageShape { stage: number, taskCount: number, taskMs: number, gang: boolean, checkpoints: boolean }

/** The factors 0.92 and 0.87 convert the mean resources of the class to the medians of the samples. */
function drawStage (jobClass: JobClass, random: Random, size: WorkerSize, { stage, taskCount, taskMs, gang, checkpoints }: StageShape): StageSpec {
  return {
    taskCount,
    resources: {
      millicores: Math.min(size.workerMillicores / 2, Math.round(random.sampleLogNormal(jobClass.millicores * 0.92, 0.4))),
      memoryMib: Math.min(size.workerMemoryMib / 2.5, Math.round(random.sampleLogNormal(jobClass.memoryMib * 0.87, 0.5))),
      accelerators: 0
    },
    estimateMs: Math.round((jobClass.declaredFactor ?? 1) * drawEstimate(taskMs, random, jobClass.estimateDeviation)),
    dependsOn: stage === 0 ? [] : [stage - 1],
    checkpoints,
    gang,
    rackLocal: false,
    requiredLabel: '',
    dataRack: '',
    perWorkerLimit: 0,
    speculative: false,
    longRunning: false,
    image: '',
    targetMs: 0,
    fills: false,
    disruptionBudget: 0
  }
}

function drawEstimate (taskMs: number, random: Random, deviation: number | undefined): number {
  return deviation === undefined ? taskMs * (0.7 + 0.6 * random.sampleFraction()) : random.sampleLogNormal(taskMs, deviation)
}

function drawLongFactor ({ longShare }: JobClass, random: Random): number {
  return longShare !== undefined && random.sampleFraction() < longShare ? LONG_FACTOR : 1
}
