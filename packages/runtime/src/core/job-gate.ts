/**
 * The way of a process to the leader for staged jobs: forwards what callers,
 * operators and workers say, and carries the leader's questions to the external
 * admission service.
 */

import {
  InternalMethod, type AdmissionAnswer, type AdmissionBody, type CallFrame, type ControllerAddress, type HeartbeatAnswer,
  type HeartbeatBody, type HelloFrame, type JobEvent, type Link, type MemberCandidate
} from '@flamingorouter/controllers'
import { ErrorKind, fail, type Answer } from '@flamingorouter/scheduler'
import { monotonicNow } from './clock.js'
import { AfterLoss, LeaderClient, type Pulse } from './leader-client.js'

/** After how long without a confirmed leader a process stops telling that it is ready, in milliseconds. */
const READY_MS = 4_000

/** How long a call looks for a leader before it is refused, in milliseconds: an election, and not much more. */
const SEARCH_MS = 1_000

/** Asks the external admission service. */
export abstract class AdmissionService {
  abstract ask (body: AdmissionBody): Promise<AdmissionAnswer>
}

export interface GateOptions {
  hello: HelloFrame
  controllers: readonly ControllerAddress[]
  /** Absent for a process that carries no questions. */
  admission?: AdmissionService
  /** Set in a controller: it offers itself as a member, and tells where it is. */
  candidate?: () => MemberCandidate | undefined
}

export class JobGate implements Pulse {
  readonly leader: LeaderClient
  private confirmedAt = -Infinity
  private isDraining = false

  private constructor (private readonly options: GateOptions) {
    const called = async (_link: Link, frame: CallFrame): Promise<unknown> => await this.called(frame)
    this.leader = LeaderClient.create(options.controllers, options.hello, { called }, this)
  }

  static create (options: GateOptions): JobGate {
    return new JobGate(options)
  }

  /** True while the balancer should send calls here. */
  get isReady (): boolean {
    return !this.isDraining && monotonicNow() - this.confirmedAt < READY_MS
  }

  drain (): void {
    this.isDraining = true
  }

  /**
   * Asks the leader. Events on staged jobs may be sent again after a lost answer:
   * each names a job, a version or an incarnation. Rejects with unavailable when
   * it surely was not acted on, and with deadlineExceeded when that is not known.
   */
  async ask (event: JobEvent, timeoutMs: number): Promise<Answer> {
    return await this.leader.call(InternalMethod.job, event, timeoutMs, AfterLoss.repeat, SEARCH_MS) as Answer
  }

  close (): void {
    this.leader.close()
  }

  describe (): HeartbeatBody {
    const { hello, admission, candidate } = this.options
    return {
      process: hello.process,
      availabilityZone: hello.availabilityZone,
      configurationVersion: 0,
      isAdmitting: !this.isDraining,
      isAdvisor: admission !== undefined && !this.isDraining,
      candidate: candidate?.()
    }
  }

  confirmed (_answer: HeartbeatAnswer, sentAt: number): void {
    this.confirmedAt = sentAt
  }

  found (): void {}

  private async called (frame: CallFrame): Promise<unknown> {
    const { admission } = this.options
    if (frame.method !== InternalMethod.admission || admission === undefined) {
      fail(ErrorKind.unimplemented, `no method ${frame.method}`)
    }
    return await admission.ask(frame.body as AdmissionBody)
  }
}
