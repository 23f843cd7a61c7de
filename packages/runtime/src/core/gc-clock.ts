/**
 * Measures the time that the thread of the event loop spends on garbage collection.
 */

import { PerformanceObserver } from 'node:perf_hooks'

/** Starts to observe collections; the returned function reads the time spent on them since, in milliseconds. */
export function observeGcMs (): () => number {
  let totalMs = 0
  const observer = new PerformanceObserver(list => {
    for (const { duration } of list.getEntries()) totalMs += duration
  })
  observer.observe({ entryTypes: ['gc'] })
  return () => totalMs
}
