/**
 * TLS keys with which a process authenticates to the system's other processes.
 * All fields are in PEM format.
 */

export interface PeerKeys {
  /** Certificate chain; the subject's common name is the name of the process. */
  certificate: string
  key: string
  /**
   * Certificate of the authority that signs the certificates of all processes. It
   * must sign no others, since every process that it certifies is accepted as a peer.
   */
  authority: string
}
