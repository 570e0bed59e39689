import { boundAt } from '../../common/clock/time-bound.js';
import { digestTo, digestsTo } from './digest.js';
import { someOf } from './draw.js';
import { newsOf, withNews } from './membership.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { addressesOf, hasFew, somePartners } from './targets.js';
import {
  beatUsOf,
  differingSpanUs,
  digestSpanUs,
  probeSpanUs,
  probeTries,
  uneasyHeardUs,
  uneasyReadUs,
  wholeSpanUs,
} from './timing.js';

/** One in this many heartbeats of a large fleet also goes to an unknown seed or a lost peer. */
const heartbeatsPerRejoinAttempt = 5;

/** One in this many heartbeats of a small fleet carries the whole membership. */
const heartbeatsPerFullSync = 25;

/** Starts a probe of each address that is a peer without one. */
const startProbes = (view: SpreadView, addresses: readonly string[]): SpreadView => {
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
export const withProbes = (view: SpreadView): SpreadStep => {
  const due = [...view.pendingProbes].filter(([, { askedUs }]) => view.atUs >= askedUs + probeSpanUs);
  return due.reduce<SpreadStep>(
    (step, [address, { tries }]) =>
      andThen(step, (current) => {
        if (tries < probeTries)
          return digestTo(
            {
              ...current,
              pendingProbes: current.pendingProbes.set(address, { askedUs: current.atUs, tries: tries + 1 }),
            },
            address,
            { asks: 'digest' },
          );
        const timedOut = { ...current, pendingProbes: current.pendingProbes.delete(address) };
        const [update] = newsOf(timedOut, address);
        return update === undefined || update.state !== 'alive'
          ? stepped(timedOut)
          : withNews(timedOut, { ...update, state: 'suspect' });
      }),
    stepped(view),
  );
};

/** Pulls digests from some peers without waiting for a heartbeat if contact or the latest reading stamp is stale. */
export const withUnease = (view: SpreadView): SpreadStep => {
  if (hasFew(view) || view.atUs < view.nextStalenessCheckUs) return stepped(view);
  const isReadingStale =
    view.read !== undefined &&
    view.platform !== undefined &&
    boundAt(view.platform, view.atUs) > view.read.atUs + uneasyReadUs;
  if (!isReadingStale && view.atUs <= view.lastContactUs + uneasyHeardUs) return stepped(view);
  const { targets, view: drawnView } = somePartners({ ...view, nextStalenessCheckUs: view.atUs + digestSpanUs }, 2);
  return digestsTo(drawnView, targets, () => ({ asks: 'digest' }));
};

/** The next peer in randomized round-robin order, as in SWIM: each peer once per round, in a new random order. */
const nextInRound = (view: SpreadView): { readonly target: string | undefined; readonly view: SpreadView } => {
  const remaining = view.round.filter((address) => view.partners.has(address));
  if (remaining.length > 0) return { target: remaining[0], view: { ...view, round: remaining.slice(1) } };
  const shuffled = someOf(view.randomState, [...view.partners.keys()], view.partners.size);
  return {
    target: shuffled.sample[0],
    view: { ...view, randomState: shuffled.state, round: shuffled.sample.slice(1) },
  };
};

/** Whether to request a full synchronization: never had one, or membership has differed from peers' for long. */
const needsFullSync = (view: SpreadView): boolean =>
  view.lastFullSyncUs === Number.NEGATIVE_INFINITY ||
  (view.divergedSinceUs !== undefined &&
    view.atUs > view.divergedSinceUs + differingSpanUs &&
    view.atUs > view.lastFullSyncUs + wholeSpanUs);

/** A random seed or lost peer on every few heartbeats: both sides of a healed partition find each other by this. */
const rejoinTargets = (view: SpreadView): { readonly targets: readonly string[]; readonly view: SpreadView } => {
  if (view.heartbeatCount % heartbeatsPerRejoinAttempt !== 0) return { targets: [], view };
  const missing = [...new Set([...view.seeds, ...view.lost.keys()])].filter(
    (address) => address !== view.self.address && !view.partners.has(address),
  );
  const drawn = someOf(view.randomState, missing, 1);
  return { targets: drawn.sample, view: { ...view, randomState: drawn.state } };
};

/** A heartbeat in a small fleet goes to all addresses, and regularly carries the whole membership. */
const sendHeartbeatToAll = (view: SpreadView): SpreadStep => {
  const includesWhole = view.heartbeatCount % heartbeatsPerFullSync === 0;
  const addresses = addressesOf(view);
  const fullSyncFrom = needsFullSync(view) ? addresses[view.heartbeatCount % addresses.length] : undefined;
  return digestsTo(startProbes(view, addresses), addresses, (address) =>
    address === fullSyncFrom ? { asks: 'whole' } : { whole: includesWhole },
  );
};

/** A heartbeat in a large fleet goes to the next peer of the round, a random peer, and at times a seed or lost peer. */
const sendHeartbeatToSome = (view: SpreadView): SpreadStep => {
  const round = nextInRound(view);
  const random = somePartners(round.view, 1, round.target);
  const rejoin = rejoinTargets(random.view);
  const targets = [
    ...new Set([...(round.target === undefined ? [] : [round.target]), ...random.targets, ...rejoin.targets]),
  ];
  const fullSyncFrom = needsFullSync(rejoin.view) ? targets[0] : undefined;
  const probingView = fullSyncFrom === undefined ? rejoin.view : { ...rejoin.view, lastFullSyncUs: view.atUs };
  return digestsTo(startProbes(probingView, targets), targets, (address) => ({
    asks: address === fullSyncFrom ? 'whole' : 'digest',
  }));
};

/** Sends the heartbeat, if it is due. */
export const withBeat = (view: SpreadView): SpreadStep => {
  if (view.atUs < view.nextHeartbeatUs) return stepped(view);
  const isSmall = hasFew(view);
  const dueView = { ...view, nextHeartbeatUs: view.atUs + (isSmall ? digestSpanUs : beatUsOf(view.partners.size)) };
  return andThen(isSmall ? sendHeartbeatToAll(dueView) : sendHeartbeatToSome(dueView), (next) =>
    stepped({ ...next, heartbeatCount: next.heartbeatCount + 1 }),
  );
};
