/**
 * Certificate and private key of a server, in PEM.
 */

export interface ServerKeys {
  /** Certificate chain. */
  certificate: string
  /** Private key. */
  key: string
  /** Authority that must have signed the certificates of clients; when absent, clients present none. */
  authority?: string
}
