import type { Micros } from '../../common/micros.js';
import type { Warmup } from './warmup.js';

/** Warm-up parameters, and the platform time from which bookings are priced by them. */
export type WarmupEpoch = {
  readonly sinceUs: Micros;
  readonly warmup: Warmup;
};
