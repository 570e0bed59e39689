import type { TypedError } from '../../common/typed-error.js';
import type { ProposalOutcome } from '../../control/state/proposal-outcome.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';

/** An outcome that will never change. */
export type FinalOutcome = Exclude<ProposalOutcome, { readonly type: 'forgotten' }>;

/** The reply to an operator's call. */
export type OperatorReply =
  | { readonly type: 'record'; readonly record: SetupRecord }
  | { readonly type: 'none' }
  /** A majority has committed the entry that decided it. */
  | { readonly type: 'decided'; readonly proposal: string; readonly outcome: FinalOutcome }
  /** Nothing definite can be said: it may yet be committed, or may have been long ago. */
  | { readonly type: 'unknown'; readonly proposal: string; readonly error: TypedError }
  /** Nothing was begun. */
  | { readonly type: 'refused'; readonly error: TypedError };
