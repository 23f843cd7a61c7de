/**
 * Tokens of callers, operators, targets and the platform. A token is a name, a
 * tilde and a secret; the file holds only the SHA-256 of the secret. The name
 * finds the entry, and the hashes are compared in constant time, so that the
 * time of a refusal tells nothing about a secret.
 */

import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { Authenticate, Principal, Role } from '@flamingorouter/rpc'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import schema from '../../tokens.schema.json'
import { checkBySchema, formatIssue } from '../utils/schema-check.js'

const SECRET_BYTES = 32
const SEPARATOR = '~'
const BEARER = /^Bearer +(\S+)$/i
/** Compared with when the name is not known. */
const NO_HASH = Buffer.alloc(32)

/** One entry of the tokens file. */
export interface TokenEntry {
  name: string
  roles: Role[]
  team: string
  /** Of the secret, in hexadecimal. */
  sha256: string
}

interface KnownToken {
  principal: Principal
  hash: Buffer
}

export class TokenStore {
  private known: ReadonlyMap<string, readonly KnownToken[]>

  private constructor (private readonly file: string) {
    this.known = readTokens(file)
  }

  /** Reads the file; throws a Failure that names every error in it. */
  static create (file: string): TokenStore {
    return new TokenStore(file)
  }

  /** Reads the file again. The tokens of before stay in force when it is not whole. */
  reload (): void {
    this.known = readTokens(this.file)
  }

  get authenticate (): Authenticate {
    return ({ authorization }) => this.find(authorization)
  }

  private find (authorization: string): Principal {
    const token = BEARER.exec(authorization)?.[1]
    if (token === undefined) fail(ErrorKind.unauthenticated, 'a bearer token is needed')
    const at = token.indexOf(SEPARATOR)
    const hash = hashSecret(token.slice(at + 1))
    let found: Principal | undefined
    for (const candidate of this.known.get(token.slice(0, Math.max(0, at))) ?? [undefined]) {
      const isMatch = timingSafeEqual(hash, candidate?.hash ?? NO_HASH)
      if (isMatch) found = candidate?.principal
    }
    return found ?? fail(ErrorKind.unauthenticated, 'the token is not known')
  }
}

/** A new token with the entry that admits it. */
export function createToken (name: string, roles: Role[], team: string): { token: string, entry: TokenEntry } {
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  const sha256 = hashSecret(secret).toString('hex')
  return { token: `${name}${SEPARATOR}${secret}`, entry: { name, roles, team, sha256 } }
}

function hashSecret (secret: string): Buffer {
  return createHash('sha256').update(secret).digest()
}

function readTokens (file: string): Map<string, KnownToken[]> {
  let parsed: { tokens: TokenEntry[] }
  try {
    parsed = JSON.parse(readFileSync(file, 'utf8'))
  } catch (error) {
    fail(ErrorKind.invalidArgument, `${file}: ${error instanceof Error ? error.message : String(error)}`)
  }
  const issues = checkBySchema(schema, parsed)
  if (issues.length > 0) fail(ErrorKind.invalidArgument, `${file}:\n${issues.map(formatIssue).join('\n')}`)
  const known = new Map<string, KnownToken[]>()
  for (const { name, roles, team, sha256 } of parsed.tokens) {
    const tokens = known.get(name) ?? []
    tokens.push({ principal: { name, roles, team }, hash: Buffer.from(sha256, 'hex') })
    known.set(name, tokens)
  }
  return known
}
