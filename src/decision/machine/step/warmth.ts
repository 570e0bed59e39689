import { leastKeys } from '../../../common/least-keys.js';
import type { Micros } from '../../../common/micros.js';
import { emptyMap, type PersistentMap } from '../../../common/persistent-map.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { Prefix } from '../../ring/prefix.js';
import type { DecisionView } from '../view/decision-view.js';

const mostPrefixes = 8192;

/** Whether this node has no fresh sign that a server has read an opening. */
export const isCold = (view: DecisionView, server: ServerKey, prefix: Prefix): boolean => {
  const servedUs = view.warmth.get(server)?.get(prefix);
  const staleUs = view.record?.setup.warmup.staleUs ?? 0;
  return servedUs === undefined || servedUs + staleUs <= view.atUs;
};

/** Makes room for an eighth at once, so that the openings are ranked once for many new ones. */
const withoutOldest = (prefixes: PersistentMap<Prefix, Micros>): PersistentMap<Prefix, Micros> =>
  prefixes.deleteAll(leastKeys(prefixes, mostPrefixes / 8, (servedUs) => servedUs));

export const warmed = (view: DecisionView, server: ServerKey, prefix: Prefix): DecisionView => {
  const knownPrefixes = view.warmth.get(server) ?? emptyMap<Prefix, Micros>();
  const keptPrefixes =
    knownPrefixes.size < mostPrefixes || knownPrefixes.has(prefix) ? knownPrefixes : withoutOldest(knownPrefixes);
  return { ...view, warmth: view.warmth.set(server, keptPrefixes.set(prefix, view.atUs)) };
};
