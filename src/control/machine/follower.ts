import type { LogEntry } from '../log/log-entry.js';
import type { Snapshot } from '../log/snapshot.js';
import { decodeSnapshotText } from '../wire/snapshot-text.js';
import { commitTo } from './commit.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { entriesFrom, lastIndexOf, termAt } from './log-queries.js';
import type { ControlMessage } from './message.js';
import { isComplete, appendPiece } from './partial-snapshot.js';
import { becomeFollower, replaceLogSuffix } from './roles.js';

type Append = Extract<ControlMessage, { readonly type: 'append' }>;
type InstallSnapshot = Extract<ControlMessage, { readonly type: 'installSnapshot' }>;

const recordLeaderContact = (replica: Replica, from: string, chance: number): ControlStep =>
  becomeFollower({ ...replica, leaderContactUs: replica.atUs }, replica.term, from, chance);

const replyToAppend = (replica: Replica, to: string, matches: boolean, index: number, round: number): ControlStep =>
  stepOf(replica, { type: 'send', to, message: { type: 'appendReply', term: replica.term, matches, index, round } });

const firstConflictingOffset = (replica: Replica, entries: readonly LogEntry[]): number =>
  entries.findIndex((entry) => entry.index > replica.snapshot.index && termAt(replica, entry.index) !== entry.term);

const storeEntries = (replica: Replica, entries: readonly LogEntry[]): ControlStep => {
  const firstNewOffset = firstConflictingOffset(replica, entries);
  if (firstNewOffset < 0) return stepOf(replica);
  const newEntries = entries.slice(firstNewOffset);
  return stepOf(replaceLogSuffix(replica, newEntries), {
    type: 'persist',
    record: { type: 'entries', entries: newEntries },
  });
};

/**
 * Handles AppendEntries (Raft): consistency check, replacement of conflicting entries, and commit up to the leader's
 * index.
 */
export const onAppend = (replica: Replica, from: string, message: Append, chance: number): ControlStep => {
  if (message.term < replica.term) return replyToAppend(replica, from, false, lastIndexOf(replica), message.round);
  return andThen(recordLeaderContact(replica, from, chance), (afterContact) => {
    const isBehindSnapshot = message.previousIndex < afterContact.snapshot.index;
    if (!isBehindSnapshot && termAt(afterContact, message.previousIndex) !== message.previousTerm)
      return replyToAppend(
        afterContact,
        from,
        false,
        Math.min(lastIndexOf(afterContact), message.previousIndex - 1),
        message.round,
      );
    const lastNewIndex = message.previousIndex + message.entries.length;
    return andThen(
      andThen(storeEntries(afterContact, message.entries), (afterStore) =>
        commitTo(afterStore, Math.min(message.commit, lastNewIndex)),
      ),
      (afterCommit) =>
        replyToAppend(
          afterCommit,
          from,
          true,
          Math.max(lastNewIndex, Math.min(afterCommit.commit, lastIndexOf(afterCommit))),
          message.round,
        ),
    );
  });
};

const acknowledgePiece = (replica: Replica, to: string, message: InstallSnapshot, received: number): ControlStep =>
  stepOf(replica, {
    type: 'send',
    to,
    message: {
      type: 'installSnapshotReply',
      term: replica.term,
      snapshotIndex: message.snapshotIndex,
      offset: message.offset,
      received,
      round: message.round,
    },
  });

/**
 * Stores a piece of a snapshot, which the leader sends if its log no longer holds the entries that this replica lacks,
 * and installs the snapshot with the last piece. A complete text that does not match its digest is dropped and
 * requested again from the start.
 */
export const onInstallSnapshot = (
  replica: Replica,
  from: string,
  message: InstallSnapshot,
  chance: number,
): ControlStep => {
  if (message.term < replica.term) return replyToAppend(replica, from, false, lastIndexOf(replica), message.round);
  return andThen(recordLeaderContact(replica, from, chance), (afterContact) => {
    if (message.snapshotIndex <= afterContact.commit)
      return replyToAppend(
        { ...afterContact, partialSnapshot: undefined },
        from,
        true,
        afterContact.commit,
        message.round,
      );
    const partialSnapshot = appendPiece(afterContact.partialSnapshot, message);
    if (!isComplete(partialSnapshot))
      return acknowledgePiece(
        { ...afterContact, partialSnapshot },
        from,
        message,
        partialSnapshot.snapshotIndex === message.snapshotIndex ? partialSnapshot.text.length : 0,
      );
    const clearedReplica: Replica = { ...afterContact, partialSnapshot: undefined };
    return decodeSnapshotText(partialSnapshot.text, partialSnapshot.digest).caseOf({
      Left: () => acknowledgePiece(clearedReplica, from, message, 0),
      Right: (snapshot) =>
        snapshot.index === message.snapshotIndex && snapshot.term === message.snapshotTerm
          ? installSnapshot(clearedReplica, from, snapshot, message.round)
          : acknowledgePiece(clearedReplica, from, message, 0),
    });
  });
};

/**
 * Installs a complete snapshot. Entries after it are retained if the log agrees with it: they may have been
 * acknowledged before a delayed snapshot arrived.
 */
const installSnapshot = (replica: Replica, from: string, snapshot: Snapshot, round: number): ControlStep => {
  const entries =
    termAt(replica, snapshot.index) === snapshot.term
      ? entriesFrom(replica, snapshot.index + 1, replica.entries.length)
      : [];
  const installedReplica: Replica = { ...replica, snapshot, entries, commit: snapshot.index, state: snapshot.state };
  const persistedStep = stepOf(
    installedReplica,
    { type: 'persist', record: { type: 'snapshot', snapshot } },
    ...(entries.length === 0 ? [] : [{ type: 'persist' as const, record: { type: 'entries' as const, entries } }]),
    { type: 'members', members: snapshot.members },
    ...(snapshot.state.record === undefined ? [] : [{ type: 'taken' as const, record: snapshot.state.record }]),
  );
  return andThen(persistedStep, (afterPersist) => replyToAppend(afterPersist, from, true, snapshot.index, round));
};
