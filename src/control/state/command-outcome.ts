import type { ProposalOutcome } from './proposal-outcome.js';

/** The outcome of an applied command. `claims-full`: refused at the limit of claims. */
export type CommandOutcome =
  | { readonly type: 'done' }
  | { readonly type: 'claimed'; readonly won: boolean; readonly holder: string }
  | { readonly type: 'claims-full' }
  | { readonly type: 'proposal'; readonly outcome: ProposalOutcome };
