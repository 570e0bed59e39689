import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import type { BucketLimits, TokenBucket } from '../token-bucket.js';

/** One tenant's bucket, and the limits under which it was last refilled. */
export type TenantBucket = {
  readonly bucket: TokenBucket;
  readonly limits: BucketLimits;
};

/** State of one control node's quota store: its share of every tenant's bucket. It is held in memory only and lost on restart. */
export type QuotaStoreState = {
  /** When the store started. The buckets of its first configuration fill from empty from this moment on. */
  readonly startedUs: Micros;
  readonly isConfigured: boolean;
  /** All configured tenants, including those without a quota. */
  readonly tenants: ReadonlySet<string>;
  readonly buckets: PersistentMap<string, TenantBucket>;
};

export const initialQuotaStore = (startedUs: Micros): QuotaStoreState => ({
  startedUs,
  isConfigured: false,
  tenants: new Set(),
  buckets: emptyMap(),
});
