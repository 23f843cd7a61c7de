/**
 * What a data folder holds, for operators. Changes nothing.
 */

import { ErrorKind, Failure } from '@flamingorouter/scheduler'
import { EntryKind, type Member } from '../../types/raft.js'
import { decodeMembers } from '../raft/members.js'
import { FolderDisk, type Disk } from './disk.js'
import { readContent, type Damage, type FolderContent, type Segment } from './content.js'

export interface FolderReport {
  group: string
  id: string
  /** Random identity of the folder. */
  disk: string
  term: number
  vote: string
  /** Newest membership in the log, committed or not. */
  members: Member[]
  snapshotIndex: number
  snapshotBytes: number
  /** Index of the last entry. */
  lastIndex: number
  /** Entries after the snapshot. */
  entries: number
  segments: Segment[]
  /** Bytes at the end of the log that a crash left half-written; a start cuts them. */
  tornBytes: number
  leftovers: string[]
  /** A start is refused unless this is empty. */
  damages: Damage[]
}

/** Reports on a folder. Throws notFound when it can't be read. */
export async function inspectFolder (folder: string): Promise<FolderReport> {
  return await inspectDisk(FolderDisk.create(folder))
}

export async function inspectDisk (disk: Disk): Promise<FolderReport> {
  try {
    return report(await readContent(disk))
  } catch (thrown) {
    const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
    throw Failure.create(ErrorKind.notFound, 'the data folder cannot be read', { cause })
  }
}

function report (content: FolderContent): FolderReport {
  const { hardState, snapshot, segments, entries } = content
  const last = segments.at(-1)
  const change = entries.findLast(entry => entry.kind === EntryKind.members)
  return {
    group: hardState?.group ?? '',
    id: hardState?.id ?? '',
    disk: hardState?.disk ?? '',
    term: hardState?.term ?? 0,
    vote: hardState?.vote ?? '',
    members: change !== undefined ? decodeMembers(change.data) : snapshot?.members ?? hardState?.members ?? [],
    snapshotIndex: snapshot?.index ?? 0,
    snapshotBytes: snapshot?.data.length ?? 0,
    lastIndex: entries.at(-1)?.index ?? snapshot?.index ?? 0,
    entries: entries.length,
    segments,
    tornBytes: last === undefined ? 0 : last.bytes - last.goodBytes,
    leftovers: content.leftovers,
    damages: content.damages
  }
}
