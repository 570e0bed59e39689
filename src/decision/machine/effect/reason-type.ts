/** Why a server was chosen. */
export type ReasonType =
  /** It owns the prefix on the ring. */
  | 'ring'
  /** It joins, and the warm-up schedule has reached the prefix. */
  | 'warm-up'
  /** It took the range over recently, and the pace admits a cold prefix. */
  | 'settling'
  /** It owned the range before, and the pace of the new owner does not admit the cold prefix yet. */
  | 'paced-back'
  /** It takes the range over from a server that leaves, or in a rebalance. */
  | 'handing-over'
  /** The owner is saturated, at its pressure bound, or expected to respond later. */
  | 'spill'
  /** The owners before it are unreachable, or this exchange has tried them. */
  | 'dark-owner'
  /** The first owner is ejected because of recent failures. */
  | 'failing-owner'
  /** No server of the ring is usable; this one is still joining. */
  | 'emergency';
