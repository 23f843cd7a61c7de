/**
 * Tokens of callers, operators, targets and the platform. A token consists of a
 * name, a tilde and a secret; the tokens file contains the name and the SHA-256 of the
 * secret. Entries are looked up by name, and the hashes are compared in constant time,
 * so that the response time of a refusal reveals nothing about a secret.
 */

import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { Authenticate, Principal, Role } from '@flamingorouter/rpc'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import schema from '../../tokens.schema.json'
import { checkBySchema, formatIssue } from '../utils/schema-check.js'

const SECRET_BYTES = 32
const SEPARATOR = '~'
const BEARER_PATTERN = /^Bearer +(\S+)$/i
/** Compared against when the name is unknown, so that the refusal takes as long as with a known name. */
const PLACEHOLDER_HASH = Buffer.alloc(32)

/** One entry of the tokens file. */
export interface TokenEntry {
  name: string
  roles: Role[]
  /** The only team that the token may act for; empty for any team. */
  team: string
  /** SHA-256 of the secret, in hexadecimal. */
  sha256: string
}

interface StoredToken {
  principal: Principal
  hash: Buffer
}

export class TokenStore {
  private tokensByName: ReadonlyMap<string, readonly StoredToken[]>

  private constructor (private readonly file: string) {
    this.tokensByName = readTokens(file)
  }

  /** Reads the file; throws a Failure that lists every error in it. */
  static create (file: string): TokenStore {
    return new TokenStore(file)
  }

  /** Reads the file again. If it is invalid, throws a Failure and keeps the previous tokens. */
  reload (): void {
    this.tokensByName = readTokens(this.file)
  }

  get authenticate (): Authenticate {
    return ({ authorization }) => this.findPrincipal(authorization)
  }

  private findPrincipal (authorization: string): Principal {
    const token = BEARER_PATTERN.exec(authorization)?.[1]
    if (token === undefined) fail(ErrorKind.unauthenticated, 'the bearer token is missing')
    const separatorIndex = token.indexOf(SEPARATOR)
    const hash = hashSecret(token.slice(separatorIndex + 1))
    let found: Principal | undefined
    for (const candidate of this.tokensByName.get(token.slice(0, Math.max(0, separatorIndex))) ?? [undefined]) {
      const isMatch = timingSafeEqual(hash, candidate?.hash ?? PLACEHOLDER_HASH)
      if (isMatch) found = candidate?.principal
    }
    return found ?? fail(ErrorKind.unauthenticated, 'the bearer token is invalid')
  }
}

/** Returns a new random token and its entry for the tokens file. */
export function createToken (name: string, roles: Role[], team: string): { token: string, entry: TokenEntry } {
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  const sha256 = hashSecret(secret).toString('hex')
  return { token: `${name}${SEPARATOR}${secret}`, entry: { name, roles, team, sha256 } }
}

function hashSecret (secret: string): Buffer {
  return createHash('sha256').update(secret).digest()
}

function readTokens (file: string): Map<string, StoredToken[]> {
  let parsed: { tokens: TokenEntry[] }
  try {
    parsed = JSON.parse(readFileSync(file, 'utf8'))
  } catch (error) {
    fail(ErrorKind.invalidArgument, `${file}: ${error instanceof Error ? error.message : String(error)}`)
  }
  const issues = checkBySchema(schema, parsed)
  if (issues.length > 0) fail(ErrorKind.invalidArgument, `${file}:\n${issues.map(formatIssue).join('\n')}`)
  const tokensByName = new Map<string, StoredToken[]>()
  for (const { name, roles, team, sha256 } of parsed.tokens) {
    const tokens = tokensByName.get(name) ?? []
    tokens.push({ principal: { name, roles, team }, hash: Buffer.from(sha256, 'hex') })
    tokensByName.set(name, tokens)
  }
  return tokensByName
}
