/**
 * Builds the single executable dist/flamingorouter: bundles the sources into one
 * CommonJS file, converts it to a blob, and injects the blob into a copy of the
 * Node.js binary that runs this script.
 */

import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { build } from 'esbuild'

const require = createRequire(import.meta.url)
const { inject } = require('postject')
const { readFileSync } = await import('node:fs')

const BUNDLE = 'dist/flamingorouter.cjs'
const BLOB = 'dist/flamingorouter.blob'
const BINARY = 'dist/flamingorouter'
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

mkdirSync('dist', { recursive: true })
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Native add-ons are optional dependencies and cannot be bundled into one file.
  external: ['cbor-extract', 'dtrace-provider', 'mv', 'safe-json-stringify'],
  define: { 'import.meta.url': 'undefined' },
  logLevel: 'warning'
})
writeFileSync('dist/sea.json', JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
// The old binary is unlinked, not overwritten, so that processes that run it are not affected.
rmSync(BINARY, { force: true })
copyFileSync(process.execPath, BINARY)
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: FUSE })
chmodSync(BINARY, 0o755)
console.log(`built ${BINARY}`)
