/**
 * TLS keys and certificates of a group's processes, signed by a certificate
 * authority that is generated for the run.
 */

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { generate, type GenerateResult } from 'selfsigned'

/** Type of a subject alternative name that is an IP address (RFC 5280). */
const IP_ADDRESS_NAME_TYPE = 7

export class PeerCertificateAuthority {
  private constructor (private readonly authority: GenerateResult) {}

  static async create (): Promise<PeerCertificateAuthority> {
    return new PeerCertificateAuthority(await generate([{ name: 'commonName', value: 'authority' }], {
      extensions: [{ name: 'basicConstraints', cA: true }]
    }))
  }

  /** Writes the certificate, key and authority of a process to a folder; returns the settings that name these files. */
  async issueKeys (name: string, folder: string): Promise<Record<string, unknown>> {
    const { cert, private: key } = await generate([{ name: 'commonName', value: name }], {
      ca: { cert: this.authority.cert, key: this.authority.private },
      extensions: [{ name: 'subjectAltName', altNames: [{ type: IP_ADDRESS_NAME_TYPE, ip: '127.0.0.1' }] }]
    })
    const files = { certificate: `${name}-certificate.pem`, key: `${name}-key.pem`, authority: `${name}-authority.pem` }
    writeFileSync(join(folder, files.certificate), cert)
    writeFileSync(join(folder, files.key), key)
    writeFileSync(join(folder, files.authority), this.authority.cert)
    return { peerTls: files }
  }
}
