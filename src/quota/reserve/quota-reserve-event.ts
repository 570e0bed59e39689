import type { Micros } from '../../common/micros.js';
import type { QuotaReply } from '../quota-messages.js';

/** Input events of a router's quota reserve. */
export type QuotaReserveEvent =
  /** Addresses of the known stores. */
  | { readonly type: 'stores'; readonly at: Micros; readonly stores: readonly string[] }
  /** A client request is to be admitted at a cost in units of the quota. */
  | {
      readonly type: 'request';
      readonly at: Micros;
      readonly request: string;
      readonly tenant: string;
      readonly cost: number;
    }
  /** The client of a waiting request has disconnected. */
  | { readonly type: 'abandoned'; readonly at: Micros; readonly request: string; readonly tenant: string }
  | { readonly type: 'reply'; readonly at: Micros; readonly ask: number; readonly reply: QuotaReply }
  /** Returns tokens that were spent on a request that did not run. */
  | { readonly type: 'refund'; readonly at: Micros; readonly tenant: string; readonly tokens: number }
  /** A retry of a request that may have run. It proceeds at once; its tokens become debt that later grants pay off. */
  | { readonly type: 'charge'; readonly at: Micros; readonly tenant: string; readonly tokens: number }
  | { readonly type: 'tick'; readonly at: Micros };
