import type { Micros } from '../../common/micros.js';
import type { Tenant } from '../../setup/document/tenant.js';
import type { QuotaRequest } from '../quota-messages.js';
import type { QuotaTolerance } from '../quota-tolerance.js';

/** Input events of a quota store. */
export type QuotaStoreEvent =
  | {
      readonly type: 'configured';
      readonly at: Micros;
      readonly tenants: readonly Tenant[];
      readonly tolerance: QuotaTolerance;
      /** Number of stores that share every bucket equally. */
      readonly shares: number;
    }
  | { readonly type: 'request'; readonly at: Micros; readonly request: QuotaRequest };
