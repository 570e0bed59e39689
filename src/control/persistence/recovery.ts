import type { DurableRecord } from '../log/durable-record.js';
import type { LogEntry } from '../log/log-entry.js';
import type { Replica } from '../machine/replica.js';
import { compactLog } from '../machine/commit.js';
import { passiveRoleOf, replaceLogSuffix } from '../machine/roles.js';

/** A file that was turned within a batch begins with a snapshot that may hold entries of the records after it. */
const entriesBehindSnapshot = (replica: Replica, entries: readonly LogEntry[]): readonly LogEntry[] =>
  entries.filter((entry) => entry.index > replica.snapshot.index);

/** A replica with one more kept record folded in. */
export const replayRecord = (replica: Replica, record: DurableRecord): Replica => {
  switch (record.type) {
    case 'identity':
      return { ...replica, identity: record.identity, founds: record.founds ?? replica.founds };
    case 'offer':
      return { ...replica, offer: record.offer };
    case 'vote':
      return { ...replica, term: record.term, votedFor: record.votedFor };
    case 'entries':
      return replaceLogSuffix(replica, entriesBehindSnapshot(replica, record.entries));
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

/** The replica that a disk gives back. What was committed shows again once a leader says so. */
export const recoverReplica = (start: Replica, records: readonly DurableRecord[]): Replica => {
  const replica = records.reduce(replayRecord, start);
  return { ...replica, role: passiveRoleOf(replica) };
};

/** All that must be kept of a replica, for the head of a new file: what is committed is folded first. */
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
