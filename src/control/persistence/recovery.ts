import type { DurableRecord } from '../log/durable-record.js';
import type { LogEntry } from '../log/log-entry.js';
import type { Replica } from '../machine/replica.js';
import { compactLog } from '../machine/commit.js';
import { passiveRoleOf, replaceLogSuffix } from '../machine/roles.js';

/**
 * Drops the entries that the snapshot contains: a ring file that was started within a batch begins with a snapshot that
 * may include entries of the records after it.
 */
const entriesAfterSnapshot = (replica: Replica, entries: readonly LogEntry[]): readonly LogEntry[] =>
  entries.filter((entry) => entry.index > replica.snapshot.index);

/** Applies one persisted record to a replica. */
export const replayRecord = (replica: Replica, record: DurableRecord): Replica => {
  switch (record.type) {
    case 'identity':
      return { ...replica, identity: record.identity, founds: record.founds ?? replica.founds };
    case 'offer':
      return { ...replica, offer: record.offer };
    case 'vote':
      return { ...replica, term: record.term, votedFor: record.votedFor };
    case 'entries':
      return replaceLogSuffix(replica, entriesAfterSnapshot(replica, record.entries));
    case 'snapshot':
      return {
        ...replica,
        snapshot: record.snapshot,
        entries: [],
        commit: record.snapshot.index,
        state: record.snapshot.state,
      };
  }
};

/** The replica recovered from the records of a disk. The commit index is not persisted: a leader sends it again. */
export const recoverReplica = (initial: Replica, records: readonly DurableRecord[]): Replica => {
  const replica = records.reduce(replayRecord, initial);
  return { ...replica, role: passiveRoleOf(replica) };
};

/** The records that a new ring file starts with: everything that a replica must persist, its log compacted first. */
export const snapshotRecordsOf = (replica: Replica): readonly DurableRecord[] => {
  const { snapshot, entries } = compactLog(replica);
  return [
    { type: 'identity', identity: replica.identity, founds: replica.founds },
    ...(replica.offer === undefined ? [] : [{ type: 'offer' as const, offer: replica.offer }]),
    { type: 'vote', term: replica.term, votedFor: replica.votedFor },
    { type: 'snapshot', snapshot },
    ...(entries.length === 0 ? [] : [{ type: 'entries' as const, entries }]),
  ];
};
