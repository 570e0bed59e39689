import type { Micros } from '../../common/micros.js';
import type { OpaqueExchange } from '../../router/opaque/opaque-exchange.js';

/** An opaque exchange as one server is to get it. */
export type OpaqueOrder = {
  readonly exchange: OpaqueExchange;
  readonly budgetUs: Micros;
  readonly afterPiece: number | undefined;
  /** From 0, the most urgent, to 9. */
  readonly urgency: number | undefined;
  /** The tenant that the request comes from, if it comes from one. */
  readonly tenant?: string | undefined;
  /** Whether the API key of the request is kept from the server. */
  readonly withholdsKey?: boolean;
};
