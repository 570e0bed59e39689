import type { Micros } from '../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';

/** Tokens that were granted together, and until when they may be spent. */
export type Grant = { readonly tokens: number; readonly expiresUs: Micros };

/** A request that waits for tokens, and until when. */
export type WaitingRequest = { readonly request: string; readonly cost: number; readonly dueUs: Micros };

/** A store that had too little for a need, and when to ask it for as much again. */
export type DryStore = {
  readonly needed: number;
  readonly untilUs: Micros;
  readonly refusals: number;
  /** What it had left. */
  readonly left: number;
};

/** What a router has of one tenant's tokens. */
export type TenantReserve = {
  /** In the order in which they expire. */
  readonly grants: readonly Grant[];
  /** Tokens of further tries that are still to be paid. */
  readonly debt: number;
  readonly waiting: readonly WaitingRequest[];
  /** The running ask, if any, and the stores that this round has asked already. */
  readonly ask: number | undefined;
  readonly asked: readonly string[];
  /** Whether a store has answered in this round that it has too little. */
  readonly isExhausted: boolean;
  /** Whether this round collects parts, since no store has all that is needed and all of them together have. */
  readonly isCollecting: boolean;
  readonly dry: ReadonlyMap<string, DryStore>;
  /** The store that granted last. */
  readonly preferred: string | undefined;
  /** Tokens spent of late, decaying with time, as of a moment. */
  readonly spent: number;
  readonly spentAtUs: Micros;
  /** Tokens spent on credit since a store last answered. */
  readonly credit: number;
};

/** An ask under way. */
export type RunningAsk = {
  readonly tenant: string;
  readonly store: string;
  readonly needed: number;
  readonly askedUs: Micros;
  readonly dueUs: Micros;
};

/** The quota side of one router. */
export type QuotaReserveState = {
  readonly node: string;
  readonly stores: readonly string[];
  /** Stores that did not answer, or may not grant, and until when they are passed over. */
  readonly suspects: ReadonlyMap<string, Micros>;
  readonly reserves: PersistentMap<string, TenantReserve>;
  readonly asks: PersistentMap<number, RunningAsk>;
  readonly nextAsk: number;
  /** When a store last answered any ask. */
  readonly answeredUs: Micros;
  /** When the next ask falls due; without end where none runs. */
  readonly wakeUs: Micros;
};

export const startQuotaReserve = (node: string): QuotaReserveState => ({
  node,
  stores: [],
  suspects: new Map(),
  reserves: emptyMap(),
  asks: emptyMap(),
  nextAsk: 1,
  answeredUs: 0,
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
  dry: new Map(),
  preferred: undefined,
  spent: 0,
  spentAtUs: atUs,
  credit: 0,
});
