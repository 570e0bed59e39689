import type { ProposalOutcome } from './proposal-outcome.js';

/** What applying an entry came to. */
export type Outcome =
  | { readonly type: 'done' }
  | { readonly type: 'claimed'; readonly won: boolean; readonly holder: string }
  | { readonly type: 'claims-full' }
  | { readonly type: 'proposal'; readonly outcome: ProposalOutcome };
