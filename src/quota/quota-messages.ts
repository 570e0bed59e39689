import type { Micros } from '../common/micros.js';

/** A router's request to a quota store for tokens of one tenant. */
export type QuotaRequest = {
  readonly tenant: string;
  /** Tokens that the first waiting request lacks, plus debt. A smaller grant is useless unless the router collects parts. */
  readonly needed: number;
  /** Tokens that the router expects to spend soon, including `needed`. */
  readonly wanted: number;
  /** Whether less than `needed` is accepted, because the router collects partial grants from several stores. */
  readonly takesPart: boolean;
};

/** A store's reply to a quota request. */
export type QuotaReply =
  /** Grants at least `needed` tokens. */
  | { readonly type: 'granted'; readonly tokens: number }
  /** The store has less than `needed`. `tokens` is the partial grant (0 unless `takesPart`), `left` the level after it. */
  | {
      readonly type: 'exhausted';
      readonly tokens: number;
      readonly left: number;
      readonly retryAfterUs: Micros;
    }
  /** This store may not grant now, or has no configuration of the tenant; the router tries another store. */
  | { readonly type: 'unavailable' };
