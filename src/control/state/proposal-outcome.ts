/** The outcome of a proposed setup, decided by the order of the committed entries. */
export type ProposalOutcome =
  | { readonly type: 'committed'; readonly revision: number }
  /** The current setup was not the expected one; `revision` is that of the current setup. */
  | { readonly type: 'conflict'; readonly revision: number }
  /** Withdrawn by the operator before it was decided; it can never be committed. */
  | { readonly type: 'cancelled'; readonly revision: number }
  /** The outcome may have been evicted from the history: the proposal may or may not have been committed. */
  | { readonly type: 'forgotten'; readonly revision: number };
