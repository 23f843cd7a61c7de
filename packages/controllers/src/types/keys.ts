/**
 * Keys of a process towards the system's other processes, in PEM.
 */

export interface PeerKeys {
  /** Certificate chain; its subject's common name is the name of the process. */
  certificate: string
  key: string
  /** Authority that signs the certificates of all processes and of nothing else. */
  authority: string
}
