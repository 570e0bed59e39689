import { withEntry } from '../../../common/maps.js';
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

export const warmed = (view: DecisionView, server: ServerKey, prefix: Prefix): DecisionView => {
  const knownPrefixes = view.warmth.get(server) ?? new Map<Prefix, number>();
  const keptPrefixes =
    knownPrefixes.size < mostPrefixes ? knownPrefixes : new Map([...knownPrefixes].filter(([known]) => !isCold(view, server, known)));
  return { ...view, warmth: withEntry(view.warmth, server, withEntry(keptPrefixes, prefix, view.atUs)) };
};
