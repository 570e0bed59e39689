import { createHash } from 'node:crypto';
import { maxClockStepUs } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import type { PeerRole } from '../../spread/peer/peer-role.js';
import { pollerKeyOf } from './reading-stamp.js';
import type { PollerEvent } from './poller-event.js';
import type { PollerView } from './poller-view.js';

/** Effect of the poller election: poll the platform now. */
export type PollerEffect = { readonly type: 'ask' };

export type PollerStep = {
  readonly view: PollerView;
  readonly effects: readonly PollerEffect[];
};

/** Least time between the starts of two polls. */
export const minPollIntervalUs: Micros = 500_000;
/** The poller counts as lost when its latest reading began this long ago; each node adds its own takeover delay. */
export const staleReadingUs: Micros = 1_200_000;
/** How long a node waits for readings of its peers after a start or a pause, before its takeover delay. */
export const initialWaitUs: Micros = 400_000;
const controlTakeoverUs: Micros = 150_000;
const routerTakeoverUs: Micros = 450_000;
const minBackoffUs: Micros = 700_000;
const maxBackoffUs: Micros = 4_000_000;

const hashFraction = (node: string): number => createHash('sha256').update(node).digest().readUInt16BE(0) / 65_536;

/** Takeover delay, derived from a hash of the name: control nodes take over first, then routers. */
export const takeoverDelayUsOf = (role: PeerRole, node: string): Micros =>
  role === 'control'
    ? Math.floor(hashFraction(node) * controlTakeoverUs)
    : controlTakeoverUs + Math.floor(hashFraction(node) * routerTakeoverUs);

export const initialPollerView = (
  role: PeerRole,
  node: string,
  atUs: Micros,
  pollIntervalUs: Micros = minPollIntervalUs,
): PollerView => ({
  key: pollerKeyOf({ role, node }),
  takeoverDelayUs: takeoverDelayUsOf(role, node),
  spanUs: Math.max(minPollIntervalUs, pollIntervalUs),
  atUs,
  sinceUs: atUs,
  latestReadingUs: undefined,
  isPoller: false,
  askedUs: undefined,
  earliestPollUs: atUs,
  consecutiveErrors: 0,
});

const withEffects = (view: PollerView, ...effects: readonly PollerEffect[]): PollerStep => ({ view, effects });

const isDue = (view: PollerView): boolean => {
  if (view.askedUs !== undefined || view.atUs < view.earliestPollUs) return false;
  if (view.isPoller) return true;
  return view.latestReadingUs === undefined
    ? view.atUs >= view.sinceUs + initialWaitUs + view.takeoverDelayUs
    : view.atUs > view.latestReadingUs + staleReadingUs + view.takeoverDelayUs;
};

const backoffUs = ({ consecutiveErrors: errors, takeoverDelayUs: delayUs }: PollerView, error: string): Micros =>
  error === 'over-rate'
    ? Math.min(maxBackoffUs, minBackoffUs * 2 ** Math.min(errors, 8)) + delayUs
    : minPollIntervalUs + delayUs;

/** After a pause of this process its latest reading is outdated and another node may be the poller: it steps down and waits. */
const afterPause = (view: PollerView): PollerView => ({
  ...view,
  sinceUs: view.atUs,
  latestReadingUs: undefined,
  isPoller: false,
});

const onHeard = (view: PollerView, by: string, ageUs: Micros): PollerStep => {
  const readUs = view.atUs - Math.max(0, ageUs);
  if (by === view.key) return withEffects(view);
  const isFresh = ageUs <= staleReadingUs;
  return withEffects({
    ...view,
    latestReadingUs: Math.max(view.latestReadingUs ?? readUs, readUs),
    isPoller: view.isPoller && !(isFresh && by < view.key),
  });
};

/**
 * State machine by which the nodes elect the poller, the one node that polls the platform. A node takes over when it has
 * learned of no fresh reading for a while, and steps down when a peer with a lesser key reports one. Two nodes may poll for a
 * short time; the merge of lists tolerates that.
 */
export const stepPoller = (view: PollerView, event: PollerEvent): PollerStep => {
  const advanced = { ...view, atUs: Math.max(view.atUs, event.at) };
  const current = event.at - view.atUs >= maxClockStepUs ? afterPause(advanced) : advanced;
  switch (event.type) {
    case 'tick':
      return isDue(current)
        ? withEffects(
            { ...current, askedUs: current.atUs, earliestPollUs: current.atUs + current.spanUs },
            { type: 'ask' },
          )
        : withEffects(current);
    case 'heard':
      return onHeard(current, event.by, event.ageUs);
    case 'read': {
      const readUs = current.askedUs ?? current.atUs;
      const hasLaterReading = current.latestReadingUs !== undefined && current.latestReadingUs > readUs;
      return withEffects({
        ...current,
        askedUs: undefined,
        latestReadingUs: hasLaterReading ? current.latestReadingUs : readUs,
        isPoller: current.isPoller || (!hasLaterReading && current.atUs <= readUs + staleReadingUs),
        consecutiveErrors: 0,
      });
    }
    case 'error':
      return withEffects({
        ...current,
        askedUs: undefined,
        isPoller: false,
        consecutiveErrors: current.consecutiveErrors + 1,
        earliestPollUs: Math.max(current.earliestPollUs, current.atUs + backoffUs(current, event.error)),
      });
  }
};
