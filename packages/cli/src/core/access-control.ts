/**
 * Who an entry admits and with which keys it serves, from the files that the
 * settings name; both are read again when a file changes.
 */

import { readFileSync } from 'node:fs'
import type { PeerKeys } from '@flamingorouter/controllers'
import { admitLoopback, type Authenticate, type Keys } from '@flamingorouter/rpc'
import { ErrorKind, fail, toFailure } from '@flamingorouter/scheduler'
import type { RuntimeLog } from '@flamingorouter/runtime'
import type { Settings, TlsFiles } from '../types/settings.js'
import { TokenStore } from './tokens.js'
import { WatchedFiles } from './watched-files.js'

export class AccessControl {
  private readonly watched: WatchedFiles[] = []
  private readonly tokens: TokenStore | undefined

  private constructor (
    private readonly settings: Settings,
    private readonly log: RuntimeLog
  ) {
    this.tokens = settings.tokens === undefined ? undefined : TokenStore.create(settings.tokens)
  }

  /** Reads the tokens; throws a Failure that names every error in them. */
  static create (settings: Settings, log: RuntimeLog): AccessControl {
    return new AccessControl(settings, log)
  }

  get authenticate (): Authenticate {
    return this.tokens?.authenticate ?? admitLoopback()
  }

  /** Keys of the HTTP port; undefined for plain HTTP. */
  readKeys (): Keys | undefined {
    const { tls } = this.settings
    return tls === undefined ? undefined : readKeys(tls)
  }

  /** Keys of the links between the group's processes; undefined for plain TCP. */
  readPeerKeys (): PeerKeys | undefined {
    const { peerTls } = this.settings
    return peerTls === undefined ? undefined : readPeerKeys(peerTls)
  }

  /** Follows the keys of the links in the same way. */
  watchPeerKeys (replace: (keys: PeerKeys) => void): void {
    const { peerTls } = this.settings
    if (peerTls === undefined) return
    this.follow([peerTls.certificate, peerTls.key, peerTls.authority], 'peer_keys', () => { replace(readPeerKeys(peerTls)) })
  }

  /** Reads changed files again until it is closed; what was in force stays so when they are not whole. */
  watch (replaceKeys: (keys: Keys) => void): void {
    const { tls, tokens } = this.settings
    if (tokens !== undefined) this.follow([tokens], 'tokens', () => { this.tokens?.reload() })
    if (tls === undefined) return
    const files = [tls.certificate, tls.key, tls.authority].filter(file => file !== undefined)
    this.follow(files, 'keys', () => { replaceKeys(readKeys(tls)) })
  }

  close (): void {
    for (const watched of this.watched) watched.close()
  }

  private follow (files: string[], what: string, reload: () => void): void {
    this.watched.push(WatchedFiles.create(files, () => {
      try {
        reload()
        this.log.info(`${what}_reloaded`)
      } catch (thrown) {
        this.log.error(`${what}_refused`, { error: toFailure(thrown).message })
      }
    }))
  }
}

function readKeys (tls: TlsFiles): Keys {
  return {
    certificate: readPem(tls.certificate),
    key: readPem(tls.key),
    authority: tls.authority === undefined ? undefined : readPem(tls.authority)
  }
}

function readPeerKeys ({ certificate, key, authority }: Required<TlsFiles>): PeerKeys {
  return { certificate: readPem(certificate), key: readPem(key), authority: readPem(authority) }
}

function readPem (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return fail(ErrorKind.invalidArgument, error instanceof Error ? error.message : String(error))
  }
}
