import type { TypedError } from '../../common/typed-error.js';
import type { ProposalOutcome } from '../../control/state/proposal-outcome.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';

/** What an operator is told. */
export type OperatorReply =
  | { readonly type: 'record'; readonly record: SetupRecord }
  | { readonly type: 'none' }
  | { readonly type: 'decided'; readonly proposal: string; readonly outcome: ProposalOutcome }
  /** It may yet be taken. */
  | { readonly type: 'unknown'; readonly proposal: string; readonly error: TypedError }
  /** Nothing was begun. */
  | { readonly type: 'refused'; readonly error: TypedError };
