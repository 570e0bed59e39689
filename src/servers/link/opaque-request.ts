import type { Micros } from '../../common/micros.js';
import type { OpaqueExchange } from '../../router/opaque/opaque-exchange.js';

/** An opaque exchange, with what one attempt of it sends to a server. */
export type OpaqueRequest = {
  readonly exchange: OpaqueExchange;
  /** Time left for the exchange. */
  readonly budgetUs: Micros;
  /** The ID of the last event that was passed on, if the attempt resumes a stream; it replaces the client's own. */
  readonly resumeAfter: string | undefined;
  /** From 0, the most urgent, to 9. */
  readonly urgency: number | undefined;
  /** The tenant of the client, if any. */
  readonly tenant?: string | undefined;
  /** Whether the API key is removed from the request. */
  readonly withholdsKey?: boolean;
};
