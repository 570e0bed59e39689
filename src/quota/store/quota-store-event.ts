import type { Micros } from '../../common/micros.js';
import type { Tenant } from '../../setup/document/tenant.js';
import type { QuotaRequest } from '../quota-grant.js';
import type { QuotaTolerance } from '../quota-tolerance.js';

/** What a quota store hears. */
export type QuotaStoreEvent =
  | {
      readonly type: 'configured';
      readonly at: Micros;
      readonly tenants: readonly Tenant[];
      readonly tolerance: QuotaTolerance;
      /** How many stores share every bucket. */
      readonly shares: number;
    }
  | { readonly type: 'request'; readonly at: Micros; readonly request: QuotaRequest };
