import type { ControlMessage } from './message.js';

type InstallSnapshot = Extract<ControlMessage, { readonly type: 'installSnapshot' }>;

/** The pieces of one snapshot from one leader's term that have arrived without a gap. */
export type PartialSnapshot = Pick<InstallSnapshot, 'term' | 'snapshotIndex' | 'snapshotTerm' | 'total' | 'digest'> & {
  readonly text: string;
};

const belongsTo = (partial: PartialSnapshot, message: InstallSnapshot): boolean =>
  partial.term === message.term &&
  partial.snapshotIndex === message.snapshotIndex &&
  partial.snapshotTerm === message.snapshotTerm &&
  partial.total === message.total &&
  partial.digest === message.digest;

const emptyPartial = ({ term, snapshotIndex, snapshotTerm, total, digest }: InstallSnapshot): PartialSnapshot => ({
  term,
  snapshotIndex,
  snapshotTerm,
  total,
  digest,
  text: '',
});

/** Whether a piece of an older snapshot of the same term came late. */
const isOutdated = (partial: PartialSnapshot | undefined, message: InstallSnapshot): boolean =>
  partial !== undefined && partial.term === message.term && message.snapshotIndex < partial.snapshotIndex;

/**
 * Adds a piece. Pieces of another snapshot or another term start anew and drop what was there; a piece that does not
 * follow on what is there changes nothing.
 */
export const withPiece = (partial: PartialSnapshot | undefined, message: InstallSnapshot): PartialSnapshot => {
  if (partial !== undefined && isOutdated(partial, message)) return partial;
  const current = partial !== undefined && belongsTo(partial, message) ? partial : emptyPartial(message);
  const follows = message.offset === current.text.length;
  const fits = message.offset + message.piece.length <= current.total;
  return follows && fits ? { ...current, text: current.text + message.piece } : current;
};

export const isWhole = (partial: PartialSnapshot): boolean => partial.text.length === partial.total;
