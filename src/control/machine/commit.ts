import { applyCommand } from '../state/apply.js';
import type { ControlEffect } from './control-effect.js';
import { andThen, forEachStep, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { entriesFrom, entryAt, lastIndexOf, membersOf, termAt, documentCharsOf, votersOf } from './log-queries.js';
import { passiveRoleOf, changeRole } from './roles.js';
import { isCompactionDeferred } from './snapshot-transfer.js';
import { deferredCompactionFactor, maxLogEntries, maxLogSetups, maxBatchDocumentChars } from './parameters.js';

const applyEntry = (replica: Replica, index: number): ControlStep => {
  const entry = entryAt(replica, index);
  if (entry === undefined) return stepOf(replica);
  const { state, outcome } = applyCommand(replica.state, entry.command);
  const requestId = replica.pendingRequests.get(index);
  const pendingRequests = new Map(replica.pendingRequests);
  pendingRequests.delete(index);
  const effects: readonly ControlEffect[] = [
    ...(state.record !== undefined && state.record !== replica.state.record
      ? [{ type: 'taken' as const, record: state.record }]
      : []),
    ...(entry.command.type === 'members' ? [{ type: 'members' as const, members: entry.command.members }] : []),
    ...(requestId === undefined
      ? []
      : [{ type: 'reply' as const, requestId, reply: { type: 'applied' as const, outcome } }]),
  ];
  return { replica: { ...replica, state, pendingRequests, commit: index }, effects };
};

/** Compacts the log: replaces all committed entries by a snapshot. */
export const compactLog = (replica: Replica): Replica => {
  if (replica.commit === replica.snapshot.index) return replica;
  const remainingEntries = entriesFrom(replica, replica.commit + 1, replica.entries.length);
  const compactedEntries = replica.entries.slice(0, replica.entries.length - remainingEntries.length);
  return {
    ...replica,
    snapshot: {
      index: replica.commit,
      term: termAt(replica, replica.commit) ?? replica.snapshot.term,
      members: membersOf({ snapshot: replica.snapshot, entries: compactedEntries }),
      state: replica.state,
    },
    entries: remainingEntries,
  };
};

/** Whether the log holds too many entries, too many setups, or setups with too large documents. */
const isCompactionDue = (replica: Replica): boolean => {
  const factor = isCompactionDeferred(replica) ? deferredCompactionFactor : 1;
  return (
    replica.entries.length > maxLogEntries * factor ||
    replica.entries.filter((entry) => entry.command.type === 'setup').length > maxLogSetups * factor ||
    replica.entries.reduce((sum, entry) => sum + documentCharsOf(entry), 0) > maxBatchDocumentChars * 4 * factor
  );
};

/**
 * Moves the commit index up: applies the entries, replies to their requests, and compacts the log if it is too large.
 */
export const commitTo = (replica: Replica, index: number): ControlStep => {
  const newCommit = Math.min(index, lastIndexOf(replica));
  if (newCommit <= replica.commit) return stepOf(replica);
  const indexes = Array.from({ length: newCommit - replica.commit }, (_, offset) => replica.commit + 1 + offset);
  const step = forEachStep(stepOf(replica), indexes, applyEntry);
  const appliedReplica = isCompactionDue(step.replica) ? compactLog(step.replica) : step.replica;
  return andThen({ replica: appliedReplica, effects: step.effects }, (afterCompaction) =>
    afterCompaction.role === 'learner' || afterCompaction.role === 'follower' || afterCompaction.role === 'unfounded'
      ? changeRole(afterCompaction, { role: passiveRoleOf(afterCompaction) })
      : stepOf(afterCompaction),
  );
};

/**
 * Commits up to the highest index that a majority of the voters holds, if that entry is of the leader's own term: Raft
 * commits entries of earlier terms only together with one of the current term.
 */
export const advanceCommit = (replica: Replica): ControlStep => {
  const voters = votersOf(replica);
  const matches = voters
    .map((voter) =>
      voter.identity === replica.identity ? lastIndexOf(replica) : (replica.progress.get(voter.identity)?.match ?? 0),
    )
    .sort((left, right) => right - left);
  const majorityIndex = matches[Math.floor(voters.length / 2)] ?? 0;
  return termAt(replica, majorityIndex) === replica.term ? commitTo(replica, majorityIndex) : stepOf(replica);
};
