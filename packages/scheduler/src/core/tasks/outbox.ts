/**
 * Commands that workers have not answered yet. A command is sent by way of the
 * entry that carried the worker's last renewal, sent again after a time without
 * an answer, and held back until the next renewal when an entry lost it.
 * Volatile; a new leader derives the commands from the state.
 */

import type { Command } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import type { ClusterState } from '../../types/state.js'
import { TargetPhase } from '../../types/targets.js'
import { parseTaskKey } from '../../types/workloads.js'
import type { Step } from '../step.js'

/** Most commands in one message to a worker. */
const BATCH_COMMANDS = 128
/** Most bytes of payloads in one message to a worker, unless one payload is larger. */
const BATCH_BYTES = 1_048_576

/** How often a checkpoint is asked for before the task is stopped without one. */
const CHECKPOINT_SENDS = 2

export type CommandKind = Command['action']['kind']

interface PendingCommand {
  task: string
  attempt: number
  kind: CommandKind
  /** Only for a throttle. */
  millicores: number
  isSent: boolean
  sentAt: number
  sends: number
}

interface Channel {
  /** Entry of the last renewal; empty while none is known to reach the worker. */
  entry: string
  pending: Map<string, PendingCommand>
}

export class Outbox {
  private readonly channels = new Map<string, Channel>()
  /** Workers with commands that may be due. */
  private readonly dirty = new Set<string>()

  private constructor (private readonly limits: Limits) {}

  static create (limits: Limits): Outbox {
    return new Outbox(limits)
  }

  clear (): void {
    this.channels.clear()
    this.dirty.clear()
  }

  /** Forgets what was meant for a session that is over. */
  drop (target: string): void {
    this.channels.delete(target)
    this.dirty.delete(target)
  }

  /** Notes the entry through which a worker was heard of. */
  reachedThrough (target: string, entry: string): void {
    const channel = this.channel(target)
    channel.entry = entry
    if (channel.pending.size > 0) this.dirty.add(target)
  }

  /** Commands wait for the next renewal of the worker. */
  lost (target: string): void {
    const channel = this.channels.get(target)
    if (channel === undefined) return
    channel.entry = ''
    for (const command of channel.pending.values()) command.isSent = false
  }

  entryLost (entry: string): void {
    for (const [target, channel] of this.channels) {
      if (channel.entry === entry) this.lost(target)
    }
  }

  add (target: string, kind: CommandKind, task: string, attempt: number, millicores = 0): void {
    const pending = this.channel(target).pending
    const key = commandKey(kind, task, attempt)
    const known = pending.get(key)
    if (known !== undefined && known.millicores === millicores) return
    pending.set(key, { task, attempt, kind, millicores, isSent: false, sentAt: 0, sends: 0 })
    this.dirty.add(target)
  }

  remove (target: string, kind: CommandKind, task: string, attempt: number): void {
    this.channels.get(target)?.pending.delete(commandKey(kind, task, attempt))
  }

  has (target: string, kind: CommandKind, task: string, attempt: number): boolean {
    return this.channels.get(target)?.pending.has(commandKey(kind, task, attempt)) ?? false
  }

  /** The attempt is over: nothing more is asked for it. */
  settle (target: string, task: string, attempt: number): void {
    const pending = this.channels.get(target)?.pending
    if (pending === undefined || pending.size === 0) return
    for (const kind of ['start', 'stop', 'checkpoint', 'throttle'] as const) {
      pending.delete(commandKey(kind, task, attempt))
    }
  }

  /** Lets commands that had no answer be sent again. */
  tick (): void {
    for (const [target, channel] of this.channels) {
      if (channel.pending.size > 0 && channel.entry !== '') this.dirty.add(target)
    }
  }

  /** Sends what is due. */
  flush (step: Step): void {
    for (const name of this.dirty) this.flushTarget(step, name)
    this.dirty.clear()
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
      if (pending.kind === 'checkpoint' && pending.sends === CHECKPOINT_SENDS) {
        this.add(name, 'stop', pending.task, pending.attempt)
        channel.pending.delete(commandKey('checkpoint', pending.task, pending.attempt))
        continue
      }
      const command = this.build(pending, step.state)
      if (command === undefined) continue
      pending.isSent = true
      pending.sentAt = step.now
      pending.sends += 1
      const size = command.action.kind === 'start' ? command.action.payload.length : 0
      if (batch.length === BATCH_COMMANDS || (batch.length > 0 && bytes + size > BATCH_BYTES)) {
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
    const isStop = pending.kind === 'stop' || pending.kind === 'checkpoint'
    const waitMs = isStop ? this.limits.stopGraceMs + this.limits.resendMs : this.limits.resendMs
    return now - pending.sentAt >= waitMs
  }

  private build (pending: PendingCommand, state: ClusterState): Command | undefined {
    const { task, attempt, kind, millicores } = pending
    if (kind === 'throttle') return { task, attempt, action: { kind, millicores } }
    if (kind !== 'start') return { task, attempt, action: { kind, graceMs: this.limits.stopGraceMs } }
    const id = parseTaskKey(task)?.id ?? ''
    const spec = state.workloads.get(id)?.spec
    if (spec === undefined) return undefined
    return { task, attempt, action: { kind, workload: id, resources: spec.resources, payload: spec.payload } }
  }

  private channel (target: string): Channel {
    const known = this.channels.get(target)
    if (known !== undefined) return known
    const channel: Channel = { entry: '', pending: new Map() }
    this.channels.set(target, channel)
    return channel
  }
}

function commandKey (kind: CommandKind, task: string, attempt: number): string {
  return `${kind} ${task}#${attempt}`
}
