/**
 * Steps that run the binary once and check its exit code and output.
 */

import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { Then, When, World } from '@cucumber/cucumber'

interface BinaryWorld extends World {
  exitCode: number
  output: string
}

When('the binary runs with {string}', function (this: BinaryWorld, flags: string) {
  const result = spawnSync('dist/flamingorouter', flags.split(' '), { encoding: 'utf8' })
  this.exitCode = result.status ?? -1
  this.output = result.stdout + result.stderr
})

Then('it exits with code {int}', function (this: BinaryWorld, code: number) {
  assert.equal(this.exitCode, code, this.output)
})

Then(/^it prints "(.*)"$/, function (this: BinaryWorld, text: string) {
  assert.ok(this.output.includes(text), this.output)
})
