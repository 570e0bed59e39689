import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import type { BucketLimits, TokenBucket } from '../token-bucket.js';

/** The bucket of one tenant, and the limits that it was last filled under. */
export type TenantBucket = {
  readonly bucket: TokenBucket;
  readonly limits: BucketLimits;
};

/** What one core machine knows of quotas: its share of every tenant's bucket, in memory alone. */
export type QuotaStoreState = {
  /** Since when this machine has granted nothing before its first configuration. */
  readonly startedUs: Micros;
  readonly isConfigured: boolean;
  /** The tenants that it knows, those without a quota among them. */
  readonly tenants: ReadonlySet<string>;
  readonly buckets: PersistentMap<string, TenantBucket>;
};

export const startQuotaStore = (startedUs: Micros): QuotaStoreState => ({
  startedUs,
  isConfigured: false,
  tenants: new Set(),
  buckets: emptyMap(),
});
