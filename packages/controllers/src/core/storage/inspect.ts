/**
 * Reports on the content of a data folder, for operators, without changing it.
 */

import { ErrorKind, Failure } from '@flamingorouter/scheduler'
import { EntryKind, type Member } from '../../types/raft.js'
import { decodeMembers } from '../raft/members.js'
import { FolderDisk, type Disk } from './disk.js'
import { readFolderContent, type Damage, type FolderContent, type Segment } from './folder-content.js'

export interface FolderReport {
  group: string
  id: string
  /** Random identity of the data folder. */
  disk: string
  term: number
  vote: string
  /** Newest membership in the log, committed or not. */
  members: Member[]
  snapshotIndex: number
  snapshotBytes: number
  /** Index of the last entry, or of the snapshot if no entry follows it; 0 for an empty log. */
  lastIndex: number
  /** Number of entries after the snapshot. */
  entries: number
  segments: Segment[]
  /** Size of the torn tail that a crash left at the end of the log, in bytes; the next start truncates it. */
  tornBytes: number
  /** Files left behind by a crash; the next start removes them. */
  leftovers: string[]
  /** A controller does not start unless this is empty. */
  damages: Damage[]
}

/** Reports on a folder. Throws notFound when it cannot be read. */
export async function inspectFolder (folder: string): Promise<FolderReport> {
  return await inspectDisk(FolderDisk.create(folder))
}

export async function inspectDisk (disk: Disk): Promise<FolderReport> {
  try {
    return createReport(await readFolderContent(disk))
  } catch (thrown) {
    const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
    throw Failure.create(ErrorKind.notFound, 'the data folder cannot be read', { cause })
  }
}

function createReport (content: FolderContent): FolderReport {
  const { hardState, snapshot, segments, entries } = content
  const lastSegment = segments.at(-1)
  const newestMembersEntry = entries.findLast(entry => entry.kind === EntryKind.members)
  return {
    group: hardState?.group ?? '',
    id: hardState?.id ?? '',
    disk: hardState?.disk ?? '',
    term: hardState?.term ?? 0,
    vote: hardState?.vote ?? '',
    members: newestMembersEntry !== undefined ? decodeMembers(newestMembersEntry.data) : snapshot?.members ?? hardState?.members ?? [],
    snapshotIndex: snapshot?.index ?? 0,
    snapshotBytes: snapshot?.data.length ?? 0,
    lastIndex: entries.at(-1)?.index ?? snapshot?.index ?? 0,
    entries: entries.length,
    segments,
    tornBytes: lastSegment === undefined ? 0 : lastSegment.bytes - lastSegment.goodBytes,
    leftovers: content.leftovers,
    damages: content.damages
  }
}
