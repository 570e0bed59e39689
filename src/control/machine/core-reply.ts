import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { ProposalOutcome } from '../state/proposal-outcome.js';
import type { CommandOutcome } from '../state/command-outcome.js';

/** The reply of the core to a proposal or a read. */
export type CoreReply =
  | { readonly type: 'applied'; readonly outcome: CommandOutcome }
  | { readonly type: 'record'; readonly record?: SetupRecord; readonly outcome?: ProposalOutcome }
  /** The request was not started; `leader` is the identity of the leader, if it is known. */
  | { readonly type: 'not-leader'; readonly leader?: string }
  /** The entry is in a log and may still be committed. */
  | { readonly type: 'undecided' }
  /** The request was not started: the replicated state is at its size limit. */
  | { readonly type: 'state-full' };
