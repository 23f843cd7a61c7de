/**
 * Ends a script that fails, is stopped or runs for too long with the code 2 and whatever it started with it.
 */

/** Below the 120 s that a script may take. */
const LIMIT_MS = 110000

/** Calls `cleanUp`, which must not wait for anything, when the process ends in whatever way but SIGKILL. */
export function guard (journal, cleanUp) {
  const fail = reason => {
    journal.note(`could not run: ${reason}`)
    process.exit(2)
  }
  process.on('exit', code => {
    cleanUp()
    journal.note(`exit code ${code}`)
    journal.write()
  })
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => { fail(signal) })
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, thrown => { fail(thrown?.stack ?? thrown) })
  setTimeout(() => { fail(`it took ${LIMIT_MS} ms`) }, LIMIT_MS).unref()
}
