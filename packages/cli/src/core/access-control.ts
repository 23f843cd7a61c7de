/**
 * Authentication and TLS keys of a process, read from the files that the settings
 * name. Both are reloaded when a file changes.
 */

import { readFileSync } from 'node:fs'
import type { PeerKeys } from '@flamingorouter/controllers'
import { createLoopbackAuthenticator, type Authenticate, type ServerKeys } from '@flamingorouter/rpc'
import { ErrorKind, fail, toFailure } from '@flamingorouter/scheduler'
import type { RuntimeLog } from '@flamingorouter/runtime'
import type { Settings, TlsFiles } from '../types/settings.js'
import { TokenStore } from './token-store.js'
import { FileWatcher } from './file-watcher.js'

export class AccessControl {
  private readonly watchers: FileWatcher[] = []
  private readonly tokens: TokenStore | undefined

  private constructor (
    private readonly settings: Settings,
    private readonly log: RuntimeLog
  ) {
    this.tokens = settings.tokens === undefined ? undefined : TokenStore.create(settings.tokens)
  }

  /** Reads the tokens file; throws a Failure that lists every error in it. */
  static create (settings: Settings, log: RuntimeLog): AccessControl {
    return new AccessControl(settings, log)
  }

  get authenticate (): Authenticate {
    return this.tokens?.authenticate ?? createLoopbackAuthenticator()
  }

  /** Returns the keys of the HTTP port; undefined for plain HTTP. Throws a Failure if a file is unreadable. */
  readKeys (): ServerKeys | undefined {
    const { tls } = this.settings
    return tls === undefined ? undefined : loadServerKeys(tls)
  }

  /** Returns the keys of the links between the processes of the group; undefined for plain TCP. */
  readPeerKeys (): PeerKeys | undefined {
    const { peerTls } = this.settings
    return peerTls === undefined ? undefined : loadPeerKeys(peerTls)
  }

  /** Reloads the keys of the links when a file changes, until close(); invalid files leave the previous keys in use. */
  watchPeerKeys (replace: (keys: PeerKeys) => void): void {
    const { peerTls } = this.settings
    if (peerTls === undefined) return
    this.watchFiles([peerTls.certificate, peerTls.key, peerTls.authority], 'peer_keys', () => { replace(loadPeerKeys(peerTls)) })
  }

  /** Reloads the tokens and the HTTP keys when a file changes, until close(); invalid files leave the previous values in use. */
  watchKeysAndTokens (replaceKeys: (keys: ServerKeys) => void): void {
    const { tls, tokens } = this.settings
    if (tokens !== undefined) this.watchFiles([tokens], 'tokens', () => { this.tokens?.reload() })
    if (tls === undefined) return
    const files = [tls.certificate, tls.key, tls.authority].filter(file => file !== undefined)
    this.watchFiles(files, 'keys', () => { replaceKeys(loadServerKeys(tls)) })
  }

  close (): void {
    for (const watcher of this.watchers) watcher.close()
  }

  private watchFiles (files: string[], eventPrefix: string, reload: () => void): void {
    this.watchers.push(FileWatcher.create(files, () => {
      try {
        reload()
        this.log.info(`${eventPrefix}_reloaded`)
      } catch (thrown) {
        this.log.error(`${eventPrefix}_refused`, { error: toFailure(thrown).message })
      }
    }))
  }
}

function loadServerKeys (tls: TlsFiles): ServerKeys {
  return {
    certificate: readPem(tls.certificate),
    key: readPem(tls.key),
    authority: tls.authority === undefined ? undefined : readPem(tls.authority)
  }
}

function loadPeerKeys ({ certificate, key, authority }: Required<TlsFiles>): PeerKeys {
  return { certificate: readPem(certificate), key: readPem(key), authority: readPem(authority) }
}

function readPem (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return fail(ErrorKind.invalidArgument, error instanceof Error ? error.message : String(error))
  }
}
