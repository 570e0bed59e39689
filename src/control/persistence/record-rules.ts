import { Left, Right, type Either } from 'purify-ts';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { DurableRecord } from '../log/durable-record.js';

/** The persisted term, vote and log after the records read so far. */
type ReplayState = {
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  /** The terms of the entries after the snapshot, in log order. */
  readonly terms: readonly number[];
};

const initialState: ReplayState = { term: 0, votedFor: undefined, snapshotIndex: 0, snapshotTerm: 0, terms: [] };

type Checked = Either<string, ReplayState>;

const lastIndexOf = (state: ReplayState): number => state.snapshotIndex + state.terms.length;

const checkVote = (state: ReplayState, vote: Extract<DurableRecord, { readonly type: 'vote' }>): Checked => {
  if (vote.term < state.term) return Left(`the term decreases from ${state.term} to ${vote.term}`);
  const hasChangedVote = vote.term === state.term && state.votedFor !== undefined && vote.votedFor !== state.votedFor;
  if (hasChangedVote) return Left(`term ${vote.term} has two votes: ${state.votedFor} and ${vote.votedFor ?? 'none'}`);
  return Right({ ...state, term: vote.term, votedFor: vote.votedFor });
};

const checkEntries = (
  state: ReplayState,
  { entries }: Extract<DurableRecord, { readonly type: 'entries' }>,
): Checked => {
  const first = entries[0];
  if (first === undefined) return Right(state);
  if (first.index <= state.snapshotIndex)
    return Left(`entry ${first.index} is not after the snapshot at index ${state.snapshotIndex}`);
  if (first.index > lastIndexOf(state) + 1)
    return Left(`entry ${first.index} leaves a gap after entry ${lastIndexOf(state)}`);
  const remainingTerms = state.terms.slice(0, first.index - state.snapshotIndex - 1);
  let previousTerm = remainingTerms[remainingTerms.length - 1] ?? state.snapshotTerm;
  for (const [offset, entry] of entries.entries()) {
    if (entry.index !== first.index + offset)
      return Left(`entry ${entry.index} found where entry ${first.index + offset} was expected`);
    if (entry.term < previousTerm)
      return Left(`entry ${entry.index} has term ${entry.term}, below the previous term ${previousTerm}`);
    if (entry.term > state.term)
      return Left(`entry ${entry.index} has term ${entry.term}, above the persisted term ${state.term}`);
    previousTerm = entry.term;
  }
  return Right({ ...state, terms: [...remainingTerms, ...entries.map((entry) => entry.term)] });
};

const checkSnapshot = (
  state: ReplayState,
  { snapshot }: Extract<DurableRecord, { readonly type: 'snapshot' }>,
): Checked => {
  if (snapshot.index < state.snapshotIndex)
    return Left(`the snapshot index decreases from ${state.snapshotIndex} to ${snapshot.index}`);
  if (snapshot.term < state.snapshotTerm)
    return Left(`the snapshot term decreases from ${state.snapshotTerm} to ${snapshot.term}`);
  if (snapshot.term > state.term)
    return Left(`the snapshot has term ${snapshot.term}, above the persisted term ${state.term}`);
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
 * Checks the log invariants on the records read from a disk: terms never decrease, one vote per term, entries without
 * gaps after the snapshot and with non-decreasing terms, a snapshot that never goes back, no term above the persisted
 * one. A violation is a `damaged-disk` error that names the folder.
 */
export const checkDurableRecords = (
  folder: string,
  records: readonly DurableRecord[],
): Either<TypedError, readonly DurableRecord[]> =>
  records
    .reduce<Checked>((checked, record) => checked.chain((state) => checkRecord(state, record)), Right(initialState))
    .mapLeft((fault) =>
      typedError('damaged-disk', `${folder}: the persisted records violate the log invariants: ${fault}`),
    )
    .map(() => records);
