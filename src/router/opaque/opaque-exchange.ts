import type { Micros } from '../../common/micros.js';
import type { OpeningPart } from './opening-part.js';

/** An exchange whose body is forwarded unparsed; only the fields needed for routing are known. */
export type OpaqueExchange = {
  /** The exchange id that the client chose. */
  readonly name: string;
  readonly host: string;
  /** The path without the query. */
  readonly path: string;
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** The API key of the request; never logged, and never forwarded if the configuration has tenants. */
  readonly apiKey?: string;
  /** The ID of the last event that the client received, as it wrote it, if it resumes a stream. */
  readonly lastEventId: string | undefined;
  /** The parts of the prompt prefix in order; the last is specific to the exchange or its session. */
  readonly opening: readonly OpeningPart[];
  /** Input and output tokens that the client declared, 0 where it declared none. */
  readonly readTokens: number;
  readonly writeTokens: number;
  /** The sum of input and output tokens that the client declared, if any. */
  readonly declaredTokens?: number;
  readonly budgetUs: Micros;
};
