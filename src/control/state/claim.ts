import type { Micros } from '../../common/micros.js';

/**
 * The exchange that holds an idempotency key, and since when by the replicated clock; no other exchange may run under
 * the key.
 */
export type Claim = {
  readonly exchange: string;
  readonly atUs: Micros;
};
