import type { Micros } from '../../common/micros.js';
import type { OpeningPart } from './opening-part.js';

/** An exchange whose text passes unread: only what decides its way is known of it. */
export type OpaqueExchange = {
  /** The caller's own name for it. */
  readonly name: string;
  readonly host: string;
  /** The path without what follows a question mark. */
  readonly path: string;
  readonly method: string;
  /** Path and query as they came. */
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** The API key that it carries; it is never logged, and never passed on where the configuration has tenants. */
  readonly apiKey?: string;
  /** The last piece that its caller has, where a stream is taken up again. */
  readonly afterPiece: number | undefined;
  /** The parts of its opening in order; the last one is its own or its session's. */
  readonly opening: readonly OpeningPart[];
  readonly readTokens: number;
  readonly writeTokens: number;
  /** The tokens that it tells, read and written together; none where it tells none. */
  readonly toldTokens?: number;
  readonly budgetUs: Micros;
};
