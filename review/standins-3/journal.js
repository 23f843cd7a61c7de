/**
 * What a script saw: one line for each event, with the seconds since its start. The lines go to record.txt.
 */

import { writeFileSync } from 'node:fs'

export class Journal {
  constructor (path) {
    this.path = path
    this.startedAt = performance.now()
    this.lines = []
  }

  get seconds () {
    return (performance.now() - this.startedAt) / 1000
  }

  note (...words) {
    this.lines.push(`${this.seconds.toFixed(3).padStart(8)} ${words.join(' ')}`)
  }

  write () {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`)
  }
}

export function pause (ms) {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

/** Waits until the condition holds; returns false when it does not within the time. */
export async function waitFor (condition, ms, stepMs = 20) {
  for (const end = performance.now() + ms; performance.now() < end;) {
    if (await condition()) return true
    await pause(stepMs)
  }
  return await condition()
}
