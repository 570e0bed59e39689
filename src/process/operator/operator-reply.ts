import type { TypedError } from '../../common/typed-error.js';
import type { ProposalOutcome } from '../../control/state/proposal-outcome.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';

/** The outcome of a decided proposal; it never changes. */
export type FinalOutcome = Exclude<ProposalOutcome, { readonly type: 'forgotten' }>;

/** The reply to a call of an operator. */
export type OperatorReply =
  | { readonly type: 'record'; readonly record: SetupRecord }
  | { readonly type: 'none' }
  /** The log entry that decided the proposal is committed. */
  | { readonly type: 'decided'; readonly proposal: string; readonly outcome: FinalOutcome }
  /** The outcome is not known: the proposal may still be committed, or may have been committed long ago. */
  | { readonly type: 'unknown'; readonly proposal: string; readonly error: TypedError }
  /** The call had no effect. */
  | { readonly type: 'refused'; readonly error: TypedError };
