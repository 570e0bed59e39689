import { applyCommand } from '../state/apply.js';
import type { ControlEffect } from './control-effect.js';
import { andThen, forEachStep, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { entriesFrom, entryAt, lastIndexOf, membersOf, termAt, textCharsOf, votersOf } from './log-reading.js';
import { passiveRoleOf, changeRole } from './roles.js';
import { holdsBackCompaction } from './snapshot-transfer.js';
import { heldCompactionFactor, maxLogEntries, maxLogConfigurations, maxAppendTextChars } from './timing.js';

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

/** Folds the log up to what is committed into the snapshot. */
export const compactLog = (replica: Replica): Replica => {
  if (replica.commit === replica.snapshot.index) return replica;
  const keptEntries = entriesFrom(replica, replica.commit + 1, replica.entries.length);
  const foldedEntries = replica.entries.slice(0, replica.entries.length - keptEntries.length);
  return {
    ...replica,
    snapshot: {
      index: replica.commit,
      term: termAt(replica, replica.commit) ?? replica.snapshot.term,
      members: membersOf({ snapshot: replica.snapshot, entries: foldedEntries }),
      state: replica.state,
    },
    entries: keptEntries,
  };
};

/** Whether the log is to be folded: it has many entries, or many or large configurations. */
const needsCompaction = (replica: Replica): boolean => {
  const factor = holdsBackCompaction(replica) ? heldCompactionFactor : 1;
  return (
    replica.entries.length > maxLogEntries * factor ||
    replica.entries.filter((entry) => entry.command.type === 'setup').length > maxLogConfigurations * factor ||
    replica.entries.reduce((sum, entry) => sum + textCharsOf(entry), 0) > maxAppendTextChars * 4 * factor
  );
};

/** Commits up to an index: applies, answers, folds. */
export const commitTo = (replica: Replica, index: number): ControlStep => {
  const reachedIndex = Math.min(index, lastIndexOf(replica));
  if (reachedIndex <= replica.commit) return stepOf(replica);
  const indexes = Array.from({ length: reachedIndex - replica.commit }, (_, place) => replica.commit + 1 + place);
  const step = forEachStep(stepOf(replica), indexes, applyEntry);
  const reachedReplica = needsCompaction(step.replica) ? compactLog(step.replica) : step.replica;
  return andThen({ replica: reachedReplica, effects: step.effects }, (foldedReplica) =>
    foldedReplica.role === 'learner' || foldedReplica.role === 'follower' || foldedReplica.role === 'unfounded'
      ? changeRole(foldedReplica, { role: passiveRoleOf(foldedReplica) })
      : stepOf(foldedReplica),
  );
};

/** What a majority of voters holds, counting only entries of the leader's own term. */
export const advanceCommit = (replica: Replica): ControlStep => {
  const voters = votersOf(replica);
  const matches = voters
    .map((voter) =>
      voter.identity === replica.identity ? lastIndexOf(replica) : (replica.progress.get(voter.identity)?.match ?? 0),
    )
    .sort((left, right) => right - left);
  const heldIndex = matches[Math.floor(voters.length / 2)] ?? 0;
  return termAt(replica, heldIndex) === replica.term ? commitTo(replica, heldIndex) : stepOf(replica);
};
