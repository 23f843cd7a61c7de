/**
 * Keys of a group's processes, signed by one authority made for the run.
 */

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { generate, type GenerateResult } from 'selfsigned'

const IP_ADDRESS = 7

export class PeerAuthority {
  private constructor (private readonly own: GenerateResult) {}

  static async create (): Promise<PeerAuthority> {
    return new PeerAuthority(await generate([{ name: 'commonName', value: 'authority' }], {
      extensions: [{ name: 'basicConstraints', cA: true }]
    }))
  }

  /** Writes the files of a process and returns its settings. */
  async issue (name: string, folder: string): Promise<Record<string, unknown>> {
    const { cert, private: key } = await generate([{ name: 'commonName', value: name }], {
      ca: { cert: this.own.cert, key: this.own.private },
      extensions: [{ name: 'subjectAltName', altNames: [{ type: IP_ADDRESS, ip: '127.0.0.1' }] }]
    })
    const files = { certificate: `${name}-certificate.pem`, key: `${name}-key.pem`, authority: `${name}-authority.pem` }
    writeFileSync(join(folder, files.certificate), cert)
    writeFileSync(join(folder, files.key), key)
    writeFileSync(join(folder, files.authority), this.own.cert)
    return { peerTls: files }
  }
}
