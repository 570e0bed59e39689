/** What became of a proposed setup. */
export type ProposalOutcome =
  | { readonly type: 'taken'; readonly revision: number }
  | { readonly type: 'lost-race'; readonly revision: number }
  /** Withdrawn before it was decided; it never can be taken. */
  | { readonly type: 'void'; readonly revision: number };
