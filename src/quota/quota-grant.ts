import type { Micros } from '../common/micros.js';

/** What a router asks a store for. */
export type QuotaRequest = {
  readonly tenant: string;
  /** What the requests that wait there cost; less than this is of no use to it, unless it is more than a share holds. */
  readonly needed: number;
  /** What it would spend soon, the needed tokens among them. */
  readonly wanted: number;
  /** Whether a part of what is needed is of use: the router collects it from several stores. */
  readonly takesPart: boolean;
};

/** What a store says to that. */
export type QuotaReply =
  /** At least what is needed. */
  | { readonly type: 'granted'; readonly tokens: number }
  /** Too little is left: `tokens` is what was given of it to a router that takes a part, `left` what is still there. */
  | {
      readonly type: 'exhausted';
      readonly tokens: number;
      readonly left: number;
      readonly retryAfterUs: Micros;
    }
  /** This machine may not grant now, or does not know the tenant; another one may. */
  | { readonly type: 'unavailable' };
