import { lowerBoundAt } from '../../common/clock/time-bound.js';
import { isPolledList } from '../../servers/list/polled-list.js';
import type { ReadingStamp } from '../../servers/source/reading-stamp.js';
import { staleReadingUs } from '../../servers/source/poller-machine.js';
import { bucketHashesOf, updatesForDifferingBuckets, updatesAbout } from './membership.js';
import type { GossipEffect } from './gossip-effect.js';
import type { GossipFrame } from './gossip-event.js';
import { withEffects, type GossipStep } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';

/** Optional content of a digest. */
export type DigestOptions = {
  /** Includes the whole membership, or only the buckets whose hashes differ from `crowds` of the receiver. */
  readonly whole?: boolean;
  readonly crowds?: readonly number[];
  /** The response to request from the receiver. */
  readonly asks?: 'digest' | 'whole';
  /** The number of the inquiry that the digest responds to. */
  readonly inquiry?: number;
  /** Includes the update about the receiver itself, so that it can refute a wrong one. */
  readonly includesReceiver?: boolean;
};

const maxUpdatesPerDigest = 6;

/** The revision of the configuration in force; 0 without one. */
export const revisionOf = (view: GossipView): number => view.record?.revision ?? 0;
/** The version of the server list; 0 without one. */
export const versionOf = (view: GossipView): number => view.list?.version ?? 0;

/** The digest of the server list; undefined if it has none. */
export const listDigestOf = (view: GossipView): string | undefined =>
  view.list !== undefined && isPolledList(view.list) ? view.list.digest : undefined;

/** A poller sends its own stamp while that is recent, so that two concurrent pollers detect each other. */
const readingStampToSend = (view: GossipView): ReadingStamp | undefined => {
  if (view.platform === undefined || view.ownReading === undefined) return view.read;
  return lowerBoundAt(view.platform, view.atUs) <= view.ownReading.atUs + staleReadingUs ? view.ownReading : view.read;
};

/** Takes the least transmitted updates for one digest and decrements their remaining transmissions. */
const takeUpdates = (view: GossipView): { readonly addresses: readonly string[]; readonly view: GossipView } => {
  if (view.pendingUpdates.size === 0) return { addresses: [], view };
  const addresses = [...view.pendingUpdates]
    .sort(([, left], [, right]) => right - left)
    .slice(0, maxUpdatesPerDigest)
    .map(([address]) => address);
  const pendingUpdates = addresses.reduce((pending, address) => {
    const count = (pending.get(address) ?? 1) - 1;
    return count > 0 ? pending.set(address, count) : pending.delete(address);
  }, view.pendingUpdates);
  return { addresses, view: { ...view, pendingUpdates } };
};

/** Sends a digest to one peer. */
export const sendDigest = (view: GossipView, address: string, options: DigestOptions = {}): GossipStep => {
  const updates = takeUpdates(view);
  const isIntroduced = view.introduced.has(address);
  const updateAddresses = new Set([
    ...(options.includesReceiver === true || view.partners.get(address)?.suspectUs !== undefined ? [address] : []),
    ...updates.addresses,
  ]);
  const frame: GossipFrame = {
    type: 'digest',
    ...(isIntroduced ? {} : { partner: view.self }),
    incarnation: view.incarnation,
    revision: revisionOf(view),
    version: versionOf(view),
    listDigest: listDigestOf(view),
    read: readingStampToSend(view),
    platformUs: view.platform === undefined ? undefined : lowerBoundAt(view.platform, view.atUs),
    partners:
      options.whole === true
        ? [
            ...updatesForDifferingBuckets(view, options.crowds),
            ...(options.includesReceiver === true ? updatesAbout(view, address) : []),
          ]
        : [...updateAddresses].flatMap((known) => updatesAbout(view, known)),
    crowd: view.crowd,
    ...(options.whole === true ? { whole: true } : {}),
    ...(options.asks === undefined ? {} : { asks: options.asks }),
    ...(options.asks === 'whole' && view.partners.size > 0 ? { crowds: bucketHashesOf(view) } : {}),
    ...(view.partners.has(address) ? {} : { unknown: true }),
    inquiry: options.inquiry,
  };
  return withEffects(updates.view, { type: 'send', address, frame });
};

/** Sends a digest to each of some peers. */
export const sendDigests = (
  view: GossipView,
  addresses: readonly string[],
  optionsOf: (address: string) => DigestOptions = () => ({}),
): GossipStep => {
  const effects: GossipEffect[] = [];
  let next = view;
  for (const address of addresses) {
    const step = sendDigest(next, address, optionsOf(address));
    next = step.view;
    effects.push(...step.effects);
  }
  return withEffects(next, ...effects);
};
