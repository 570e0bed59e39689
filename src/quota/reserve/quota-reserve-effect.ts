import type { Micros } from '../../common/micros.js';
import type { QuotaRequest } from '../quota-messages.js';

/** How an admitted request was paid: from tokens at hand, from a new grant of a store, or on credit. */
export type TokenSource = 'local' | 'store' | 'credit';

/** Effects of a router's quota reserve, for its adapter to carry out. */
export type QuotaReserveEffect =
  | { readonly type: 'admit'; readonly request: string; readonly source: TokenSource }
  /** Over the quota, or no store answered and the credit is used up. No tokens were spent. */
  | {
      readonly type: 'reject';
      readonly request: string;
      readonly cause: 'over-quota' | 'quota-unavailable';
      readonly retryAfterUs: Micros;
    }
  /** Send a quota request to a store; the store's reply repeats the number `ask`. */
  | { readonly type: 'ask'; readonly ask: number; readonly store: string; readonly request: QuotaRequest };
