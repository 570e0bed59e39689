import { Left, Right, type Either } from 'purify-ts';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { DurableRecord } from '../log/durable-record.js';

/** What the records read so far have come to. */
type ReplayState = {
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  /** The terms of the entries behind the snapshot, in order. */
  readonly terms: readonly number[];
};

const startState: ReplayState = { term: 0, votedFor: undefined, snapshotIndex: 0, snapshotTerm: 0, terms: [] };

type Checked = Either<string, ReplayState>;

const lastIndexOf = (state: ReplayState): number => state.snapshotIndex + state.terms.length;

const checkVote = (state: ReplayState, vote: Extract<DurableRecord, { readonly type: 'vote' }>): Checked => {
  if (vote.term < state.term) return Left(`the term falls from ${state.term} to ${vote.term}`);
  const changesVote = vote.term === state.term && state.votedFor !== undefined && vote.votedFor !== state.votedFor;
  if (changesVote) return Left(`term ${vote.term} has two votes, ${state.votedFor} and ${vote.votedFor ?? 'none'}`);
  return Right({ ...state, term: vote.term, votedFor: vote.votedFor });
};

const checkEntries = (
  state: ReplayState,
  { entries }: Extract<DurableRecord, { readonly type: 'entries' }>,
): Checked => {
  const first = entries[0];
  if (first === undefined) return Right(state);
  if (first.index <= state.snapshotIndex)
    return Left(`entry ${first.index} lies below the snapshot at ${state.snapshotIndex}`);
  if (first.index > lastIndexOf(state) + 1) return Left(`entry ${first.index} follows entry ${lastIndexOf(state)}`);
  const keptTerms = state.terms.slice(0, first.index - state.snapshotIndex - 1);
  let formerTerm = keptTerms[keptTerms.length - 1] ?? state.snapshotTerm;
  for (const [place, entry] of entries.entries()) {
    if (entry.index !== first.index + place)
      return Left(`entry ${entry.index} stands where ${first.index + place} should`);
    if (entry.term < formerTerm) return Left(`entry ${entry.index} is of term ${entry.term} after term ${formerTerm}`);
    if (entry.term > state.term)
      return Left(`entry ${entry.index} is of term ${entry.term}, the vote of ${state.term}`);
    formerTerm = entry.term;
  }
  return Right({ ...state, terms: [...keptTerms, ...entries.map((entry) => entry.term)] });
};

const checkSnapshot = (
  state: ReplayState,
  { snapshot }: Extract<DurableRecord, { readonly type: 'snapshot' }>,
): Checked => {
  if (snapshot.index < state.snapshotIndex)
    return Left(`the snapshot falls from ${state.snapshotIndex} to ${snapshot.index}`);
  if (snapshot.term < state.snapshotTerm)
    return Left(`the snapshot's term falls from ${state.snapshotTerm} to ${snapshot.term}`);
  if (snapshot.term > state.term) return Left(`the snapshot is of term ${snapshot.term}, the vote of ${state.term}`);
  return Right({ ...state, snapshotIndex: snapshot.index, snapshotTerm: snapshot.term, terms: [] });
};

const checkRecord = (state: ReplayState, record: DurableRecord): Checked => {
  switch (record.type) {
    case 'identity':
    case 'offer':
      return Right(state);
    case 'vote':
      return checkVote(state, record);
    case 'entries':
      return checkEntries(state, record);
    case 'snapshot':
      return checkSnapshot(state, record);
  }
};

/**
 * Asserts the rules of the log on what a disk gave back: terms never fall, one vote a term, entries without gaps behind
 * the snapshot and of terms that never fall, a snapshot that never goes back, nothing newer than the kept term.
 */
export const checkDurableRecords = (
  folder: string,
  records: readonly DurableRecord[],
): Either<TypedError, readonly DurableRecord[]> =>
  records
    .reduce<Checked>((checked, record) => checked.chain((state) => checkRecord(state, record)), Right(startState))
    .mapLeft((fault) => typedError('damaged-disk', `${folder}: the kept records break the log's rules: ${fault}`))
    .map(() => records);
