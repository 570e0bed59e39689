import type { Micros } from '../../common/micros.js';
import type { QuotaRequest } from '../quota-grant.js';

/** Where the tokens of an admitted request came from. */
export type TokenSource = 'local' | 'store' | 'credit';

/** What the reserves of a router decide. */
export type QuotaReserveEffect =
  | { readonly type: 'admit'; readonly request: string; readonly source: TokenSource }
  /** Over the quota, or no store answered; in either case nothing was spent. */
  | {
      readonly type: 'reject';
      readonly request: string;
      readonly cause: 'over-quota' | 'quota-unavailable';
      readonly retryAfterUs: Micros;
    }
  | { readonly type: 'ask'; readonly ask: number; readonly store: string; readonly request: QuotaRequest };
