import type { QuotaUnit } from './quota-unit.js';

/** The rate limit of a tenant over all routers: a token bucket of the given rate and burst. */
export type Quota = {
  readonly unit: QuotaUnit;
  /** Units per second; 0 means no limit. */
  readonly ratePerSecond: number;
  /** Units on top of the rate that a tenant may use at once after it was idle. */
  readonly burst: number;
  /** With the unit `tokens`: the charge for a request that does not state its token count. */
  readonly defaultTokens: number;
};
