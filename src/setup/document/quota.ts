import type { QuotaUnit } from './quota-unit.js';

/** How much a tenant may use over all routers together. */
export type Quota = {
  readonly unit: QuotaUnit;
  /** Units a second; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Units on top of the rate, which a tenant that was idle may use at once. */
  readonly burst: number;
  /** What a request counts that does not tell its tokens, where tokens are counted. */
  readonly defaultTokens: number;
};
