import type { Micros } from '../../common/micros.js';
import type { ErrorType } from '../../common/error-type.js';

/** What the machine that asks hears. */
export type SourceEvent =
  | { readonly type: 'tick'; readonly at: Micros }
  /** A partner told of a whole reading, which began `ageUs` ago. */
  | { readonly type: 'heard'; readonly at: Micros; readonly by: string; readonly ageUs: Micros }
  | { readonly type: 'read'; readonly at: Micros }
  | { readonly type: 'error'; readonly at: Micros; readonly error: ErrorType };
