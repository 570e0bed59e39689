import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { ProposalOutcome } from '../state/proposal-outcome.js';
import type { Outcome } from '../state/outcome.js';

/** What an asker is told. */
export type CoreReply =
  | { readonly type: 'applied'; readonly outcome: Outcome }
  | { readonly type: 'record'; readonly record?: SetupRecord; readonly outcome?: ProposalOutcome }
  /** Nothing was begun; another machine may lead. */
  | { readonly type: 'not-leader'; readonly leader?: string }
  /** The entry stands in a log and may yet be taken. */
  | { readonly type: 'undecided' }
  /** Nothing was begun: the replicated state has no room for it now. */
  | { readonly type: 'state-full' };
