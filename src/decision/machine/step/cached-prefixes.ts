import { lowestRankedKeys } from '../../../common/lowest-ranked-keys.js';
import type { Micros } from '../../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../../common/persistent-map.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { Prefix } from '../../ring/prefix.js';
import type { DecisionView } from '../view/decision-view.js';

const maxPrefixesPerServer = 8192;

/** Whether this node has no recent evidence that the server's cache holds a prefix. */
export const isCold = (view: DecisionView, server: ServerKey, prefix: Prefix): boolean => {
  const prefilledUs = view.cachedPrefixes.get(server)?.get(prefix);
  const staleUs = view.record?.setup.warmup.staleUs ?? 0;
  return prefilledUs === undefined || prefilledUs + staleUs <= view.atUs;
};

/** Evicts an eighth at once, so that one ranking of the prefixes makes room for many new ones. */
const evictOldest = (prefixes: PersistentMap<Prefix, Micros>): PersistentMap<Prefix, Micros> =>
  prefixes.deleteAll(lowestRankedKeys(prefixes, maxPrefixesPerServer / 8, (prefilledUs) => prefilledUs));

/** Notes that the server has prefilled a prefix now; evicts the oldest entries if its table is full. */
export const withCachedPrefix = (view: DecisionView, server: ServerKey, prefix: Prefix): DecisionView => {
  const prefixes = view.cachedPrefixes.get(server) ?? emptyMap<Prefix, Micros>();
  const remainingPrefixes =
    prefixes.size < maxPrefixesPerServer || prefixes.has(prefix) ? prefixes : evictOldest(prefixes);
  return { ...view, cachedPrefixes: view.cachedPrefixes.set(server, remainingPrefixes.set(prefix, view.atUs)) };
};
