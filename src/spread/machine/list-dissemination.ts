import type { PolledList } from '../../servers/list/polled-list.js';
import { isPolledList } from '../../servers/list/polled-list.js';
import { liveListOf } from '../../servers/list/live-list.js';
import { mergeLists } from '../../servers/list/merge-lists.js';
import type { ServerList } from '../../servers/list/server-list.js';
import { announceChange, pushDigests } from './announce.js';
import { listDigestOf, versionOf } from './digest.js';
import type { HeldVersions } from './inquiry.js';
import { raisePlatformTime } from './platform-time.js';
import type { GossipStep } from './gossip-step.js';
import { andThen, withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';

const maxFormerLists = 8;

const putInForce = (view: GossipView, list: ServerList | PolledList, from?: string): GossipStep =>
  andThen(raisePlatformTime({ ...view, list }, list.atUs), (timedView) =>
    announceChange(timedView, { type: 'list', list: liveListOf(list) }, from),
  );

/**
 * Adopts a merged list. Routing sees a list only when its version rises; a list that differs in its digest alone is only
 * pushed to peers, until all of them have merged it.
 */
export const adoptMergedList = (view: GossipView, known: PolledList, list: PolledList, from?: string): GossipStep => {
  const mergedView = { ...view, formerLists: [known, ...view.formerLists].slice(0, maxFormerLists) };
  return list.version > known.version
    ? putInForce(mergedView, list, from)
    : andThen(raisePlatformTime({ ...mergedView, list }, list.atUs), (timedView) => pushDigests(timedView, from));
};

/**
 * Adopts a list if it is newer. A pushed list, from the platform, replaces an older version; polled lists are merged,
 * and ignored once a pushed one is known.
 */
export const adoptList = (view: GossipView, list: ServerList | PolledList, from?: string): GossipStep => {
  const known = view.list;
  if (!isPolledList(list)) {
    const isNewer = known === undefined || isPolledList(known) || list.version > known.version;
    return isNewer ? putInForce({ ...view, formerLists: [] }, list, from) : withEffects(view);
  }
  if (known === undefined) return putInForce(view, mergeLists(list, list), from);
  if (!isPolledList(known)) return withEffects(view);
  const merged = mergeLists(known, list);
  return merged.digest === known.digest && merged.version === known.version
    ? withEffects(view)
    : adoptMergedList(view, known, merged, from);
};

/** The polled list reduced to the entries that a former one lacks; merging it into that one gives the same result. */
const changesSince = (list: PolledList, former: PolledList): PolledList => {
  const formerDigests = new Set(former.servers.map((server) => JSON.stringify(server)));
  return { ...list, servers: list.servers.filter((server) => !formerDigests.has(JSON.stringify(server))) };
};

/** The list to send to a peer that holds `version` and `listDigest`; undefined if it lacks nothing. */
export const listFor = (
  view: GossipView,
  version: number,
  listDigest: string | undefined,
): ServerList | PolledList | undefined => {
  const { list } = view;
  if (list === undefined) return undefined;
  if (!isPolledList(list)) return listDigest !== undefined || version < list.version ? list : undefined;
  if (listDigest === undefined) return version < list.version ? list : undefined;
  if (listDigest === list.digest && version >= list.version) return undefined;
  const former = view.formerLists.find(({ digest }) => digest === listDigest);
  return former === undefined ? list : changesSince(list, former);
};

/** Whether a peer's digest shows a list that is neither held here nor in flight from another peer. */
export const lacksList = (view: GossipView, digest: HeldVersions, hadVersion: number, isPending: boolean): boolean => {
  const isOwnPolled = listDigestOf(view) !== undefined;
  const isPeerPolled = digest.listDigest !== undefined;
  if (view.list === undefined || isOwnPolled === isPeerPolled)
    return (
      digest.version > hadVersion ||
      (!isPending && digest.version === versionOf(view) && digest.listDigest !== listDigestOf(view))
    );
  return isOwnPolled && digest.version > 0 && !isPending;
};

/**
 * Whether the own list includes the list that a digest describes. Of two polled lists only equal ones surely do, since
 * frames cross in flight.
 */
export const hasListOf = (view: GossipView, digest: HeldVersions): boolean => {
  const isOwnPolled = listDigestOf(view) !== undefined;
  if (isOwnPolled && digest.listDigest !== undefined)
    return digest.version === versionOf(view) && digest.listDigest === listDigestOf(view);
  if (isOwnPolled) return digest.version === 0;
  return (view.list !== undefined && digest.listDigest !== undefined) || digest.version <= versionOf(view);
};
