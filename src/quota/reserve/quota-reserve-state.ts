import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';

/** Tokens of one grant; they can be spent until `expiresUs`. */
export type Grant = { readonly tokens: number; readonly expiresUs: Micros };

/** A client request that waits for tokens until `dueUs` at the latest. */
export type WaitingRequest = { readonly request: string; readonly cost: number; readonly dueUs: Micros };

/** A store that refused `needed` tokens, and until when not to request that many from it. */
export type ExhaustedStore = {
  readonly needed: number;
  readonly untilUs: Micros;
  /** Consecutive refusals, for the exponential backoff. */
  readonly refusals: number;
  /** Tokens that the store had left. */
  readonly left: number;
};

/** One tenant's tokens at a router. A round sends quota requests to one store after another until all waiting requests are settled. */
export type TenantReserve = {
  /** Ordered by expiry. */
  readonly grants: readonly Grant[];
  /** Tokens of retries that are not yet paid. */
  readonly debt: number;
  readonly waiting: readonly WaitingRequest[];
  /** Number of the quota request under way, if any. */
  readonly ask: number | undefined;
  /** Stores that were sent a quota request in this round. */
  readonly asked: readonly string[];
  /** Whether a store has replied `exhausted` in this round. */
  readonly isExhausted: boolean;
  /** Whether this round collects partial grants: no single store has enough, but all of them together have. */
  readonly isCollecting: boolean;
  readonly exhaustedStores: ReadonlyMap<string, ExhaustedStore>;
  /** The store that granted last. */
  readonly preferredStore: string | undefined;
  /** Sum of the tokens spent, decaying exponentially with time, as of `spentAtUs`. */
  readonly spent: number;
  readonly spentAtUs: Micros;
  /** Tokens spent on credit since a store last answered. */
  readonly credit: number;
};

/** A quota request to a store. After its timeout it is kept for a while, as the late reply still carries tokens. */
export type PendingQuotaRequest = {
  readonly tenant: string;
  readonly store: string;
  readonly needed: number;
  readonly askedUs: Micros;
  readonly dueUs: Micros;
};

/** State of one router's quota reserve: the tokens of every tenant and the quota requests under way. */
export type QuotaReserveState = {
  readonly node: string;
  readonly stores: readonly string[];
  /** Stores that did not reply, or may not grant, and until when they are skipped. */
  readonly suspects: ReadonlyMap<string, Micros>;
  readonly reserves: PersistentMap<string, TenantReserve>;
  /** The pending quota requests by number. */
  readonly asks: PersistentMap<number, PendingQuotaRequest>;
  readonly nextAsk: number;
  /** When a store last granted or refused tokens; 0 if none has. */
  readonly lastReplyUs: Micros;
  /** Earliest `dueUs` of all quota requests; infinite if there is none. */
  readonly wakeUs: Micros;
};

export const initialQuotaReserve = (node: string): QuotaReserveState => ({
  node,
  stores: [],
  suspects: new Map(),
  reserves: emptyMap(),
  asks: emptyMap(),
  nextAsk: 1,
  lastReplyUs: 0,
  wakeUs: Number.POSITIVE_INFINITY,
});

export const emptyReserve = (atUs: Micros): TenantReserve => ({
  grants: [],
  debt: 0,
  waiting: [],
  ask: undefined,
  asked: [],
  isExhausted: false,
  isCollecting: false,
  exhaustedStores: new Map(),
  preferredStore: undefined,
  spent: 0,
  spentAtUs: atUs,
  credit: 0,
});
