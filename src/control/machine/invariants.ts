import invariant from 'tiny-invariant';
import type { DurableRecord } from '../log/durable-record.js';
import type { LogEntry } from '../log/log-entry.js';
import type { ControlStep } from './control-step.js';
import { lastIndexOf, lastTermOf, termAt } from './log-reading.js';
import type { Replica } from './replica.js';

/**
 * The rules that every step of a replica must keep, whatever it is sent. Each check costs as much as the change that
 * the step made, never as much as the whole log. A broken rule throws: the caller must neither persist nor send
 * anything of that step.
 */

const checkTermAndVote = (former: Replica, replica: Replica): void => {
  invariant(replica.term >= former.term, `the term fell from ${former.term} to ${replica.term}`);
  if (replica.term > former.term || former.votedFor === undefined) return;
  invariant(
    replica.votedFor === former.votedFor,
    `the vote of term ${replica.term} changed from ${former.votedFor} to ${replica.votedFor}`,
  );
};

const checkCommit = (former: Replica, replica: Replica): void => {
  const lastIndex = lastIndexOf(replica);
  const commitTerm = termAt(replica, replica.commit);
  invariant(replica.commit >= former.commit, `the commit index fell from ${former.commit} to ${replica.commit}`);
  invariant(replica.commit <= lastIndex, `the commit index ${replica.commit} is past the end of the log, ${lastIndex}`);
  invariant(
    commitTerm !== undefined && commitTerm <= replica.term,
    `the committed entry ${replica.commit} is of term ${commitTerm}, the replica in term ${replica.term}`,
  );
  if (former.commit < replica.snapshot.index) return;
  const formerTerm = termAt(former, former.commit);
  const keptTerm = termAt(replica, former.commit);
  invariant(
    keptTerm === formerTerm,
    `the committed entry ${former.commit} changed from term ${formerTerm} to ${keptTerm}`,
  );
};

/** The shape of the log: contiguous behind its snapshot, and the snapshot holds committed entries only. */
export const checkLogShape = (replica: Replica): void => {
  const { snapshot, entries, commit } = replica;
  const [firstEntry] = entries;
  invariant(snapshot.index <= commit, `the snapshot ends at ${snapshot.index}, past the commit index ${commit}`);
  invariant(
    firstEntry === undefined || firstEntry.index === snapshot.index + 1,
    `the log begins at ${firstEntry?.index} behind a snapshot that ends at ${snapshot.index}`,
  );
  invariant(
    lastIndexOf(replica) === snapshot.index + entries.length,
    `the log of ${entries.length} entries ends at ${lastIndexOf(replica)} behind a snapshot that ends at ${snapshot.index}`,
  );
};

const checkContiguous = (entries: readonly LogEntry[]): void =>
  entries.forEach((entry, place) => {
    const previous = entries[place - 1];
    if (previous === undefined) return;
    invariant(entry.index === previous.index + 1, `entry ${entry.index} follows entry ${previous.index}`);
    invariant(entry.term >= previous.term, `entry ${entry.index} has term ${entry.term}, below ${previous.term}`);
  });

/** What is written over the log must begin behind the commit index, and a leader only appends. */
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
    `term ${replica.term} with a vote for ${replica.votedFor} is not persisted`,
  );
};

const endOf = (record: DurableRecord): { readonly index: number; readonly term: number } | undefined => {
  if (record.type === 'snapshot') return record.snapshot;
  return record.type === 'entries' ? record.entries.at(-1) : undefined;
};

const checkLogPersisted = (former: Replica, replica: Replica, records: readonly DurableRecord[]): void => {
  const lastIndex = lastIndexOf(replica);
  const lastTerm = lastTermOf(replica);
  if (lastIndex === lastIndexOf(former) && lastTerm === lastTermOf(former)) return;
  const end = records.flatMap((record) => endOf(record) ?? []).at(-1);
  invariant(
    end?.index === lastIndex && end.term === lastTerm,
    `the log up to entry ${lastIndex} of term ${lastTerm} is not persisted`,
  );
};

/** Gives a step back unless it breaks a rule of the replicated log; then it throws. */
export const checkedStep = (former: Replica, step: ControlStep): ControlStep => {
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
