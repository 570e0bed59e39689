import type { AskedList } from '../../servers/list/asked-list.js';
import { isAsked } from '../../servers/list/asked-list.js';
import { livingListOf } from '../../servers/list/living-list.js';
import { mergeLists } from '../../servers/list/merge-lists.js';
import type { ServerList } from '../../servers/list/server-list.js';
import { pushed, told } from './announce.js';
import { listDigestOf, versionOf } from './digest.js';
import type { Known } from './inquiry.js';
import { withTime } from './platform-time.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';

const mostFormerLists = 8;

const inForce = (view: SpreadView, list: ServerList | AskedList, from?: string): SpreadStep =>
  andThen(withTime({ ...view, list }, list.atUs), (timedView) =>
    told(timedView, { type: 'list', list: livingListOf(list) }, from),
  );

/** Decisions take lists by version; what differs in the digest alone is settled between partners. */
export const merging = (view: SpreadView, known: AskedList, list: AskedList, from?: string): SpreadStep => {
  const mergedView = { ...view, formerLists: [known, ...view.formerLists].slice(0, mostFormerLists) };
  return list.version > known.version
    ? inForce(mergedView, list, from)
    : andThen(withTime({ ...mergedView, list }, list.atUs), (timedView) => pushed(timedView, from));
};

/** A told list replaces by version, an asked one is merged; where the platform tells, nothing asked is taken. */
export const withList = (view: SpreadView, list: ServerList | AskedList, from?: string): SpreadStep => {
  const known = view.list;
  if (!isAsked(list)) {
    const isNews = known === undefined || isAsked(known) || list.version > known.version;
    return isNews ? inForce({ ...view, formerLists: [] }, list, from) : stepped(view);
  }
  if (known === undefined) return inForce(view, mergeLists(list, list), from);
  if (!isAsked(known)) return stepped(view);
  const merged = mergeLists(known, list);
  return merged.digest === known.digest && merged.version === known.version
    ? stepped(view)
    : merging(view, known, merged, from);
};

/** Of an asked list the entries that a former one lacks, which merge into it as the whole would. */
const newsSince = (list: AskedList, former: AskedList): AskedList => {
  const formerDigests = new Set(former.servers.map((server) => JSON.stringify(server)));
  return { ...list, servers: list.servers.filter((server) => !formerDigests.has(JSON.stringify(server))) };
};

/** The list for a partner that has another one, or none. */
export const listFor = (
  view: SpreadView,
  version: number,
  listDigest: string | undefined,
): ServerList | AskedList | undefined => {
  const { list } = view;
  if (list === undefined) return undefined;
  if (!isAsked(list)) return listDigest !== undefined || version < list.version ? list : undefined;
  if (listDigest === undefined) return version < list.version ? list : undefined;
  if (listDigest === list.digest && version >= list.version) return undefined;
  const former = view.formerLists.find(({ digest }) => digest === listDigest);
  return former === undefined ? list : newsSince(list, former);
};

/** Whether a partner's list has to be asked for, beside what is had or on its way. */
export const lacksList = (view: SpreadView, digest: Known, hadVersion: number, isPending: boolean): boolean => {
  const isOwnAsked = listDigestOf(view) !== undefined;
  const isOthersAsked = digest.listDigest !== undefined;
  if (view.list === undefined || isOwnAsked === isOthersAsked)
    return (
      digest.version > hadVersion ||
      (!isPending && digest.version === versionOf(view) && digest.listDigest !== listDigestOf(view))
    );
  return isOwnAsked && digest.version > 0 && !isPending;
};

/** Whether a list has all that a digest speaks of. Of asked lists only equal ones are sure to: frames pass each other. */
export const hasListOf = (view: SpreadView, digest: Known): boolean => {
  const isOwnAsked = listDigestOf(view) !== undefined;
  if (isOwnAsked && digest.listDigest !== undefined)
    return digest.version === versionOf(view) && digest.listDigest === listDigestOf(view);
  if (isOwnAsked) return digest.version === 0;
  return (view.list !== undefined && digest.listDigest !== undefined) || digest.version <= versionOf(view);
};
