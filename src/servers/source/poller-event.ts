import type { Micros } from '../../common/micros.js';
import type { ErrorType } from '../../common/error-type.js';

/** Input events of the poller election. */
export type PollerEvent =
  | { readonly type: 'tick'; readonly at: Micros }
  /** A peer reported a complete reading, which began `ageUs` ago. */
  | { readonly type: 'heard'; readonly at: Micros; readonly by: string; readonly ageUs: Micros }
  /** This node's poll returned a complete reading. */
  | { readonly type: 'read'; readonly at: Micros }
  /** This node's poll failed, or pages were missing. */
  | { readonly type: 'error'; readonly at: Micros; readonly error: ErrorType };
