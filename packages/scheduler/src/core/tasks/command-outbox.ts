/**
 * Commands that workers have not answered yet. A command is sent through the
 * entry that forwarded the last announcement or renewal of the worker. It is
 * resent after a time without an answer; if the entry could not deliver it, it is
 * resent after the next renewal. The outbox is volatile: a new leader derives the
 * commands to start, stop and checkpoint from the replicated state.
 */

import type { Command } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { TargetPhase } from '../../types/targets.js'
import { parseTaskKey } from '../../types/workloads.js'
import type { Step } from '../step.js'

/** Maximum number of commands in one message to a worker. */
const BATCH_COMMAND_LIMIT = 128
/** Maximum size of the payloads in one message to a worker; a single larger payload is sent in a message of its own. */
const BATCH_BYTE_LIMIT = 1_048_576

/** Number of times that a checkpoint command is sent before the task is stopped without a checkpoint. */
const CHECKPOINT_SEND_LIMIT = 2

export type CommandKind = Command['action']['kind']

interface PendingCommand {
  /** Key of the task. */
  task: string
  attempt: number
  kind: CommandKind
  /** Processor limit of a throttle; 0 for other commands. */
  millicores: number
  /** False before the first send, and again after the entry could not deliver the command. */
  isSent: boolean
  /** Cluster time of the last send in milliseconds. */
  sentAt: number
  sendCount: number
}

interface Channel {
  /** Entry that forwarded the last announcement or renewal; empty while no entry is known to reach the worker. */
  entry: string
  /** Commands by kind, task and attempt. */
  pending: Map<string, PendingCommand>
}

export class CommandOutbox {
  private readonly channels = new Map<string, Channel>()
  /** Names of workers with commands that may be due. */
  private readonly dueTargets = new Set<string>()

  private constructor (private readonly limits: Limits) {}

  static create (limits: Limits): CommandOutbox {
    return new CommandOutbox(limits)
  }

  clear (): void {
    this.channels.clear()
    this.dueTargets.clear()
  }

  /** Removes all commands for a worker whose session is over. */
  removeTarget (target: string): void {
    this.channels.delete(target)
    this.dueTargets.delete(target)
  }

  /** Records the entry through which a worker sent its last announcement or renewal, and makes its commands due. */
  setEntry (target: string, entry: string): void {
    const channel = this.getOrCreateChannel(target)
    channel.entry = entry
    if (channel.pending.size > 0) this.dueTargets.add(target)
  }

  /** Holds back the commands for a worker until its next renewal, because its entry could not deliver them. */
  holdUntilRenewal (target: string): void {
    const channel = this.channels.get(target)
    if (channel === undefined) return
    channel.entry = ''
    for (const command of channel.pending.values()) command.isSent = false
  }

  /** Holds back the commands for all workers that were reached through a lost entry. */
  handleEntryLost (entry: string): void {
    for (const [target, channel] of this.channels) {
      if (channel.entry === entry) this.holdUntilRenewal(target)
    }
  }

  /** Adds a command unless the same one is pending. A throttle with another limit replaces the pending one. */
  add (target: string, kind: CommandKind, task: string, attempt: number, millicores = 0): void {
    const pending = this.getOrCreateChannel(target).pending
    const key = createCommandKey(kind, task, attempt)
    const known = pending.get(key)
    if (known !== undefined && known.millicores === millicores) return
    pending.set(key, { task, attempt, kind, millicores, isSent: false, sentAt: 0, sendCount: 0 })
    this.dueTargets.add(target)
  }

  remove (target: string, kind: CommandKind, task: string, attempt: number): void {
    this.channels.get(target)?.pending.delete(createCommandKey(kind, task, attempt))
  }

  has (target: string, kind: CommandKind, task: string, attempt: number): boolean {
    return this.channels.get(target)?.pending.has(createCommandKey(kind, task, attempt)) ?? false
  }

  /** Removes all commands for an attempt, because it is over or a new command replaces them. */
  removeAttempt (target: string, task: string, attempt: number): void {
    const pending = this.channels.get(target)?.pending
    if (pending === undefined || pending.size === 0) return
    for (const kind of ['start', 'stop', 'checkpoint', 'throttle'] as const) {
      pending.delete(createCommandKey(kind, task, attempt))
    }
  }

  /** Marks workers with pending commands, so that the next flush resends the commands whose resend interval has passed. */
  tick (): void {
    for (const [target, channel] of this.channels) {
      if (channel.pending.size > 0 && channel.entry !== '') this.dueTargets.add(target)
    }
  }

  /** Sends the commands that are due, in batches. */
  flush (step: Step): void {
    for (const name of this.dueTargets) this.flushTarget(step, name)
    this.dueTargets.clear()
  }

  private flushTarget (step: Step, name: string): void {
    const channel = this.channels.get(name)
    const target = step.state.targets.get(name)
    if (channel === undefined || channel.entry === '') return
    if (target === undefined || target.phase === TargetPhase.lost) return
    let batch: Command[] = []
    let bytes = 0
    for (const pending of channel.pending.values()) {
      if (!this.isDue(pending, step.now)) continue
      if (pending.kind === 'checkpoint' && pending.sendCount === CHECKPOINT_SEND_LIMIT) {
        this.add(name, 'stop', pending.task, pending.attempt)
        channel.pending.delete(createCommandKey('checkpoint', pending.task, pending.attempt))
        continue
      }
      const command = this.createCommand(pending, step.state)
      if (command === undefined) continue
      pending.isSent = true
      pending.sentAt = step.now
      pending.sendCount += 1
      const size = command.action.kind === 'start' ? command.action.payload.length : 0
      if (batch.length === BATCH_COMMAND_LIMIT || (batch.length > 0 && bytes + size > BATCH_BYTE_LIMIT)) {
        step.command(channel.entry, target, batch)
        batch = []
        bytes = 0
      }
      batch.push(command)
      bytes += size
    }
    if (batch.length > 0) step.command(channel.entry, target, batch)
  }

  private isDue (pending: PendingCommand, now: number): boolean {
    if (!pending.isSent) return true
    // A command to stop an assigned task is pending until the worker reports the end, which may take the grace period.
    const isStop = pending.kind === 'stop' || pending.kind === 'checkpoint'
    const waitMs = isStop ? this.limits.stopGraceMs + this.limits.resendMs : this.limits.resendMs
    return now - pending.sentAt >= waitMs
  }

  /** The command to send; undefined when the workload of a start no longer exists. */
  private createCommand (pending: PendingCommand, state: ClusterState): Command | undefined {
    const { task, attempt, kind, millicores } = pending
    if (kind === 'throttle') return { task, attempt, action: { kind, millicores } }
    if (kind !== 'start') return { task, attempt, action: { kind, graceMs: this.limits.stopGraceMs } }
    const id = parseTaskKey(task)?.id ?? ''
    const spec = state.workloads.get(id)?.spec
    if (spec === undefined) return undefined
    return { task, attempt, action: { kind, workload: id, resources: spec.resources, payload: spec.payload } }
  }

  private getOrCreateChannel (target: string): Channel {
    const known = this.channels.get(target)
    if (known !== undefined) return known
    const channel: Channel = { entry: '', pending: new Map() }
    this.channels.set(target, channel)
    return channel
  }
}

function createCommandKey (kind: CommandKind, task: string, attempt: number): string {
  return `${kind} ${task}#${attempt}`
}
