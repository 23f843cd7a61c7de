/**
 * Builds target/flamingorouter.cjs, the single bundled file that runs on the
 * users' platform.
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
  // Native add-ons are optional dependencies and cannot be bundled into one file.
  external: ['cbor-extract'],
  define: { 'import.meta.url': 'undefined' },
  logLevel: 'warning'
})
