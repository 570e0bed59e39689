import type { OpaqueCaller } from '../opaque/opaque-caller.js';
import type { TypedError } from '../../common/typed-error.js';
import type { Micros } from '../../common/micros.js';

/** The way back to the caller of one exchange. The first of the last words ends it. */
export type CallerLink = {
  readonly opaque?: OpaqueCaller;
  readonly isGone: () => boolean;
  /** Calls back when the caller went away before the last word. */
  readonly onGone: (act: () => void) => void;
  /** Gives a line of the stream on and waits for room; false when the caller is gone. */
  readonly piece: (exchange: string, line: string) => Promise<boolean>;
  readonly end: (exchange: string, pieces: number) => void;
  readonly receipt: (exchange: string, text: string) => void;
  /** It did not run and never will. */
  readonly refuse: (error: TypedError, exchange?: string, retryAfterUs?: Micros) => void;
  /** It may have run. */
  readonly unknown: (error: TypedError, facts: Readonly<Record<string, string>>) => void;
  readonly breakOff: () => void;
};
