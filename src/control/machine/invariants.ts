import invariant from 'tiny-invariant';
import type { DurableRecord } from '../log/durable-record.js';
import type { LogEntry } from '../log/log-entry.js';
import type { ControlStep } from './control-step.js';
import { lastIndexOf, lastTermOf, termAt } from './log-queries.js';
import type { Replica } from './replica.js';

/**
 * The Raft invariants that every step must preserve, whatever messages arrive; `former` is the replica before the step.
 * The cost of a check is proportional to the change that the step made, not to the length of the log. A violation
 * throws: the caller must then neither persist nor send anything of that step.
 */

const checkTermAndVote = (former: Replica, replica: Replica): void => {
  invariant(replica.term >= former.term, `the term decreased from ${former.term} to ${replica.term}`);
  if (replica.term > former.term || former.votedFor === undefined) return;
  invariant(
    replica.votedFor === former.votedFor,
    `the vote of term ${replica.term} changed from ${former.votedFor} to ${replica.votedFor}`,
  );
};

const checkCommit = (former: Replica, replica: Replica): void => {
  const lastIndex = lastIndexOf(replica);
  const commitTerm = termAt(replica, replica.commit);
  invariant(replica.commit >= former.commit, `the commit index decreased from ${former.commit} to ${replica.commit}`);
  invariant(replica.commit <= lastIndex, `the commit index ${replica.commit} is past the end of the log, ${lastIndex}`);
  invariant(
    commitTerm !== undefined && commitTerm <= replica.term,
    `the committed entry ${replica.commit} has term ${commitTerm}, the replica is in term ${replica.term}`,
  );
  if (former.commit < replica.snapshot.index) return;
  const formerTerm = termAt(former, former.commit);
  const commitTermNow = termAt(replica, former.commit);
  invariant(
    commitTermNow === formerTerm,
    `the committed entry ${former.commit} changed from term ${formerTerm} to ${commitTermNow}`,
  );
};

/** Throws unless the log continues its snapshot without a gap and the snapshot holds committed entries only. */
export const checkLogShape = (replica: Replica): void => {
  const { snapshot, entries, commit } = replica;
  const [firstEntry] = entries;
  invariant(snapshot.index <= commit, `the snapshot ends at index ${snapshot.index}, past the commit index ${commit}`);
  invariant(
    firstEntry === undefined || firstEntry.index === snapshot.index + 1,
    `the log starts at index ${firstEntry?.index} after a snapshot that ends at index ${snapshot.index}`,
  );
  invariant(
    lastIndexOf(replica) === snapshot.index + entries.length,
    `the log of ${entries.length} entries ends at index ${lastIndexOf(replica)} after a snapshot that ends at index ${snapshot.index}`,
  );
};

const checkContiguous = (entries: readonly LogEntry[]): void =>
  entries.forEach((entry, offset) => {
    const previous = entries[offset - 1];
    if (previous === undefined) return;
    invariant(entry.index === previous.index + 1, `entry ${entry.index} directly follows entry ${previous.index}`);
    invariant(
      entry.term >= previous.term,
      `entry ${entry.index} has term ${entry.term}, below the previous term ${previous.term}`,
    );
  });

/**
 * Persisted entries must start after the commit index, and a leader only appends to its own log (leader append-only).
 */
const checkWrittenEntries = (former: Replica, replica: Replica, entries: readonly LogEntry[]): void => {
  const firstIndex = entries[0]?.index;
  if (firstIndex === undefined) return;
  invariant(firstIndex > former.commit, `entry ${firstIndex} replaces a log that is committed up to ${former.commit}`);
  invariant(
    former.role !== 'leader' || replica.term !== former.term || firstIndex > lastIndexOf(former),
    `the leader of term ${former.term} replaces its own entry ${firstIndex}`,
  );
  checkContiguous(entries);
};

const voteRecordOf = (
  records: readonly DurableRecord[],
): Extract<DurableRecord, { readonly type: 'vote' }> | undefined =>
  records.flatMap((record) => (record.type === 'vote' ? [record] : [])).at(-1);

const checkVotePersisted = (former: Replica, replica: Replica, records: readonly DurableRecord[]): void => {
  if (replica.term === former.term && replica.votedFor === former.votedFor) return;
  const vote = voteRecordOf(records);
  invariant(
    vote?.term === replica.term && vote.votedFor === replica.votedFor,
    `term ${replica.term} with a vote for ${replica.votedFor} was not persisted`,
  );
};

const lastEntryOf = (record: DurableRecord): { readonly index: number; readonly term: number } | undefined => {
  if (record.type === 'snapshot') return record.snapshot;
  return record.type === 'entries' ? record.entries.at(-1) : undefined;
};

const checkLogPersisted = (former: Replica, replica: Replica, records: readonly DurableRecord[]): void => {
  const lastIndex = lastIndexOf(replica);
  const lastTerm = lastTermOf(replica);
  if (lastIndex === lastIndexOf(former) && lastTerm === lastTermOf(former)) return;
  const lastPersisted = records.flatMap((record) => lastEntryOf(record) ?? []).at(-1);
  invariant(
    lastPersisted?.index === lastIndex && lastPersisted.term === lastTerm,
    `the log up to entry ${lastIndex} of term ${lastTerm} was not persisted`,
  );
};

/** Returns the step unchanged; throws if it violates an invariant. */
export const checkStepInvariants = (former: Replica, step: ControlStep): ControlStep => {
  const { replica, effects } = step;
  const records = effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
  checkTermAndVote(former, replica);
  checkLogShape(replica);
  checkCommit(former, replica);
  records.forEach((record) => {
    if (record.type === 'entries') checkWrittenEntries(former, replica, record.entries);
  });
  checkVotePersisted(former, replica, records);
  checkLogPersisted(former, replica, records);
  return step;
};
