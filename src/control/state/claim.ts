import type { Micros } from '../../common/micros.js';

/** A key that may run once, and the exchange that won it. */
export type Claim = {
  readonly exchange: string;
  readonly atUs: Micros;
};
