import type { ControlMessage } from './message.js';

type InstallSnapshot = Extract<ControlMessage, { readonly type: 'installSnapshot' }>;

/** The text received so far, without a gap, of one snapshot from the leader of one term. */
export type PartialSnapshot = Pick<InstallSnapshot, 'term' | 'snapshotIndex' | 'snapshotTerm' | 'total' | 'digest'> & {
  readonly text: string;
};

const isSameSnapshot = (partial: PartialSnapshot, message: InstallSnapshot): boolean =>
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

/** Whether a piece belongs to an older snapshot of the same term, and was delayed. */
const isOutdated = (partial: PartialSnapshot | undefined, message: InstallSnapshot): boolean =>
  partial !== undefined && partial.term === message.term && message.snapshotIndex < partial.snapshotIndex;

/**
 * Appends a piece. A piece of another snapshot or another term discards the text received so far. A duplicate, a piece
 * of an older snapshot of the same term, and one that leaves a gap or exceeds the total are ignored.
 */
export const appendPiece = (partial: PartialSnapshot | undefined, message: InstallSnapshot): PartialSnapshot => {
  if (partial !== undefined && isOutdated(partial, message)) return partial;
  const target = partial !== undefined && isSameSnapshot(partial, message) ? partial : emptyPartial(message);
  const isContiguous = message.offset === target.text.length;
  const isWithinTotal = message.offset + message.piece.length <= target.total;
  return isContiguous && isWithinTotal ? { ...target, text: target.text + message.piece } : target;
};

export const isComplete = (partial: PartialSnapshot): boolean => partial.text.length === partial.total;
