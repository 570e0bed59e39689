import type { Micros } from '../../common/micros.js';
import type { QuotaReply } from '../quota-grant.js';

/** What the reserves of a router hear. */
export type QuotaReserveEvent =
  /** The stores that are known, by address. */
  | { readonly type: 'stores'; readonly at: Micros; readonly stores: readonly string[] }
  /** A request asks to be admitted at a cost. */
  | {
      readonly type: 'request';
      readonly at: Micros;
      readonly request: string;
      readonly tenant: string;
      readonly cost: number;
    }
  /** The client of a request that waits has gone. */
  | { readonly type: 'abandoned'; readonly at: Micros; readonly request: string; readonly tenant: string }
  | { readonly type: 'reply'; readonly at: Micros; readonly ask: number; readonly reply: QuotaReply }
  /** Tokens that were spent for a request that did not run. */
  | { readonly type: 'refund'; readonly at: Micros; readonly tenant: string; readonly tokens: number }
  /** A further try of a request that may have run; it is not held back, and paid with what is granted next. */
  | { readonly type: 'charge'; readonly at: Micros; readonly tenant: string; readonly tokens: number }
  | { readonly type: 'tick'; readonly at: Micros };
