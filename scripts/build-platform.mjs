/**
 * Builds target/flamingorouter.cjs, the one file that runs on the users'
 * platform.
 */

import { mkdirSync } from 'node:fs'
import { build } from 'esbuild'

mkdirSync('target', { recursive: true })
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/flamingorouter.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  // Native add-ons are optional for their users and cannot live in one file.
  external: ['cbor-extract'],
  define: { 'import.meta.url': 'undefined' },
  logLevel: 'warning'
})
