/** What became of a proposed configuration, as a committed entry of the log decided it. */
export type ProposalOutcome =
  | { readonly type: 'committed'; readonly revision: number }
  /** Another configuration was current; `revision` is the current one. */
  | { readonly type: 'conflict'; readonly revision: number }
  /** Withdrawn before it was decided; it can never be committed. */
  | { readonly type: 'cancelled'; readonly revision: number }
  /** It may have been committed so long ago that the history no longer holds it; nothing definite can be said. */
  | { readonly type: 'forgotten'; readonly revision: number };
