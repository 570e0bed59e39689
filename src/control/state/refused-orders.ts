import { emptyBoundedMap, remember, type BoundedMap } from '../../common/bounded-map.js';
import type { Micros } from '../../common/micros.js';

/**
 * How long the refusal of a document whose expected version is not committed yet is final. One request may be in the
 * log twice, and the second copy must not be committed after the first was refused. A request and its copies are in
 * transit for at most a few seconds.
 */
export const refusalKeepUs: Micros = 10_000_000;
export const maxRefusedOrders = 1_024;

/**
 * Proposals that were refused because their expected version was not committed yet, with the time of refusal, oldest
 * first.
 */
export type RefusedOrders = BoundedMap<string, Micros>;

/** The proposal of a document that replaces the document of an expected version. */
export type DocumentOrder = {
  readonly version: number;
  readonly digest: string;
  readonly expectedVersion: number;
};

export const emptyRefusedOrders: RefusedOrders = emptyBoundedMap();

const keyOf = ({ version, digest, expectedVersion }: DocumentOrder): string =>
  `${expectedVersion}:${version}:${digest}`;

export const isRefused = (refusals: RefusedOrders, proposal: DocumentOrder, clockUs: Micros): boolean => {
  const refusedAtUs = refusals.entries.get(keyOf(proposal));
  return refusedAtUs !== undefined && clockUs < refusedAtUs + refusalKeepUs;
};

export const rememberRefusal = (refusals: RefusedOrders, proposal: DocumentOrder, clockUs: Micros): RefusedOrders =>
  remember(refusals, keyOf(proposal), clockUs, maxRefusedOrders).map;
