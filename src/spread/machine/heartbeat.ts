import { lowerBoundAt } from '../../common/clock/time-bound.js';
import { sendDigest, sendDigests } from './digest.js';
import { randomSample } from './random.js';
import { updatesAbout, applyUpdate } from './membership.js';
import type { GossipStep } from './gossip-step.js';
import { andThen, withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';
import { broadcastAddresses, isSmallFleet, samplePeers } from './targets.js';
import {
  heartbeatIntervalUsOf,
  divergenceTimeoutUs,
  heartbeatIntervalUs,
  probeTimeoutUs,
  maxProbes,
  maxContactAgeUs,
  maxReadingAgeUs,
  fullSyncIntervalUs,
} from './timing.js';

/** One in this many heartbeats of a large fleet also goes to an unknown seed or a lost peer. */
const heartbeatsPerRejoinAttempt = 5;

/** One in this many heartbeats of a small fleet carries the whole membership. */
const heartbeatsPerFullSync = 25;

/** Starts a probe of each address that is a peer without one. */
const startProbes = (view: GossipView, addresses: readonly string[]): GossipView => {
  const unprobed = addresses.filter((address) => view.partners.has(address) && !view.pendingProbes.has(address));
  return {
    ...view,
    pendingProbes: unprobed.reduce(
      (probes, address) => probes.set(address, { askedUs: view.atUs, tries: 1 }),
      view.pendingProbes,
    ),
  };
};

/** Repeats probes that have timed out. A peer that answers none of them becomes suspect, as in SWIM. */
export const repeatProbes = (view: GossipView): GossipStep => {
  const due = [...view.pendingProbes].filter(([, { askedUs }]) => view.atUs >= askedUs + probeTimeoutUs);
  return due.reduce<GossipStep>(
    (step, [address, { tries }]) =>
      andThen(step, (current) => {
        if (tries < maxProbes)
          return sendDigest(
            {
              ...current,
              pendingProbes: current.pendingProbes.set(address, { askedUs: current.atUs, tries: tries + 1 }),
            },
            address,
            { asks: 'digest' },
          );
        const timedOut = { ...current, pendingProbes: current.pendingProbes.delete(address) };
        const [update] = updatesAbout(timedOut, address);
        return update === undefined || update.state !== 'alive'
          ? withEffects(timedOut)
          : applyUpdate(timedOut, { ...update, state: 'suspect' });
      }),
    withEffects(view),
  );
};

/** Pulls digests from some peers without waiting for a heartbeat if contact or the latest reading stamp is stale. */
export const pullIfStale = (view: GossipView): GossipStep => {
  if (isSmallFleet(view) || view.atUs < view.nextStalenessCheckUs) return withEffects(view);
  const isReadingStale =
    view.read !== undefined &&
    view.platform !== undefined &&
    lowerBoundAt(view.platform, view.atUs) > view.read.atUs + maxReadingAgeUs;
  if (!isReadingStale && view.atUs <= view.lastContactUs + maxContactAgeUs) return withEffects(view);
  const { targets, view: drawnView } = samplePeers(
    { ...view, nextStalenessCheckUs: view.atUs + heartbeatIntervalUs },
    2,
  );
  return sendDigests(drawnView, targets, () => ({ asks: 'digest' }));
};

/** The next peer in randomized round-robin order, as in SWIM: each peer once per round, in a new random order. */
const nextInRound = (view: GossipView): { readonly target: string | undefined; readonly view: GossipView } => {
  const remaining = view.round.filter((address) => view.partners.has(address));
  if (remaining.length > 0) return { target: remaining[0], view: { ...view, round: remaining.slice(1) } };
  const shuffled = randomSample(view.randomState, [...view.partners.keys()], view.partners.size);
  return {
    target: shuffled.sample[0],
    view: { ...view, randomState: shuffled.state, round: shuffled.sample.slice(1) },
  };
};

/** Whether to request a full synchronization: never had one, or membership has differed from peers' for long. */
const needsFullSync = (view: GossipView): boolean =>
  view.lastFullSyncUs === Number.NEGATIVE_INFINITY ||
  (view.divergedSinceUs !== undefined &&
    view.atUs > view.divergedSinceUs + divergenceTimeoutUs &&
    view.atUs > view.lastFullSyncUs + fullSyncIntervalUs);

/** A random seed or lost peer on every few heartbeats: both sides of a healed partition find each other by this. */
const rejoinTargets = (view: GossipView): { readonly targets: readonly string[]; readonly view: GossipView } => {
  if (view.heartbeatCount % heartbeatsPerRejoinAttempt !== 0) return { targets: [], view };
  const missing = [...new Set([...view.seeds, ...view.lost.keys()])].filter(
    (address) => address !== view.self.address && !view.partners.has(address),
  );
  const drawn = randomSample(view.randomState, missing, 1);
  return { targets: drawn.sample, view: { ...view, randomState: drawn.state } };
};

/** A heartbeat in a small fleet goes to all addresses, and regularly carries the whole membership. */
const sendHeartbeatToAll = (view: GossipView): GossipStep => {
  const includesWhole = view.heartbeatCount % heartbeatsPerFullSync === 0;
  const addresses = broadcastAddresses(view);
  const fullSyncFrom = needsFullSync(view) ? addresses[view.heartbeatCount % addresses.length] : undefined;
  return sendDigests(startProbes(view, addresses), addresses, (address) =>
    address === fullSyncFrom ? { asks: 'whole' } : { whole: includesWhole },
  );
};

/** A heartbeat in a large fleet goes to the next peer of the round, a random peer, and at times a seed or lost peer. */
const sendHeartbeatToSome = (view: GossipView): GossipStep => {
  const round = nextInRound(view);
  const random = samplePeers(round.view, 1, round.target);
  const rejoin = rejoinTargets(random.view);
  const targets = [
    ...new Set([...(round.target === undefined ? [] : [round.target]), ...random.targets, ...rejoin.targets]),
  ];
  const fullSyncFrom = needsFullSync(rejoin.view) ? targets[0] : undefined;
  const probingView = fullSyncFrom === undefined ? rejoin.view : { ...rejoin.view, lastFullSyncUs: view.atUs };
  return sendDigests(startProbes(probingView, targets), targets, (address) => ({
    asks: address === fullSyncFrom ? 'whole' : 'digest',
  }));
};

/** Sends the heartbeat, if it is due. */
export const sendDueHeartbeat = (view: GossipView): GossipStep => {
  if (view.atUs < view.nextHeartbeatUs) return withEffects(view);
  const isSmall = isSmallFleet(view);
  const dueView = {
    ...view,
    nextHeartbeatUs: view.atUs + (isSmall ? heartbeatIntervalUs : heartbeatIntervalUsOf(view.partners.size)),
  };
  return andThen(isSmall ? sendHeartbeatToAll(dueView) : sendHeartbeatToSome(dueView), (next) =>
    withEffects({ ...next, heartbeatCount: next.heartbeatCount + 1 }),
  );
};
