/**
 * Open links by the process that they lead to, which the peer's hello names. Two processes may have several links: both
 * ends dial, an address changes, or a link to a process that is gone has not closed yet.
 */

import type { Link } from '@flamingorouter/controllers'

export class LinkTable {
  /** Links by the name of the process, in the order in which they were opened. */
  private readonly linksByProcess = new Map<string, Link[]>()

  static create (): LinkTable {
    return new LinkTable()
  }

  /** Adds a link whose peer said its hello. */
  add (link: Link): void {
    const process = link.peer?.process ?? ''
    this.linksByProcess.set(process, [...this.linksByProcess.get(process) ?? [], link])
  }

  /** Removes a closed link. Returns true when it was the last one to its process; a link that was not added is ignored. */
  remove (link: Link): boolean {
    const process = link.peer?.process ?? ''
    const links = this.linksByProcess.get(process)
    if (links?.includes(link) !== true) return false
    if (links.length === 1) return this.linksByProcess.delete(process)
    this.linksByProcess.set(process, links.filter(other => other !== link))
    return false
  }

  /** The link to a process that was opened last, since an older one may lead to a process that is gone; undefined without any. */
  find (process: string): Link | undefined {
    return this.linksByProcess.get(process)?.at(-1)
  }

  /** The link that was opened last to each process. */
  list (): Link[] {
    return [...this.linksByProcess.values()].map(links => links[links.length - 1])
  }
}
