import { emptyBoundedMap, remember, type BoundedMap } from '../../common/bounded-map.js';
import type { Micros } from '../../common/micros.js';

/**
 * How long the refusal of an order on top of a version that is not current yet stays final. One call may stand twice in
 * the log; the second copy must not be committed after the first has been refused. A call and its copies are on their
 * way for at most a few seconds.
 */
export const refusalKeepUs: Micros = 10_000_000;
export const maxRefusedOrders = 1_024;

/** Orders that were refused since their base was not current yet, with the time of the refusal, oldest first. */
export type RefusedOrders = BoundedMap<string, Micros>;

/** An order: a document on top of a base version. */
export type DocumentOrder = {
  readonly version: number;
  readonly digest: string;
  readonly expectedVersion: number;
};

export const emptyRefusedOrders: RefusedOrders = emptyBoundedMap();

const keyOf = ({ version, digest, expectedVersion }: DocumentOrder): string =>
  `${expectedVersion}:${version}:${digest}`;

export const isRefused = (orders: RefusedOrders, order: DocumentOrder, clockUs: Micros): boolean => {
  const refusedAtUs = orders.entries.get(keyOf(order));
  return refusedAtUs !== undefined && clockUs < refusedAtUs + refusalKeepUs;
};

export const rememberRefusal = (orders: RefusedOrders, order: DocumentOrder, clockUs: Micros): RefusedOrders =>
  remember(orders, keyOf(order), clockUs, maxRefusedOrders).map;
