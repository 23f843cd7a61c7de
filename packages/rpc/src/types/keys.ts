/**
 * Keys of a server, in PEM.
 */

export interface Keys {
  /** Certificate chain. */
  certificate: string
  key: string
  /** Authority that must have signed the certificates of clients; absent asks for none. */
  authority?: string
}
