import { lowerBoundAt } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import { isPolledList } from '../../servers/list/polled-list.js';
import { applyReading } from '../../servers/source/apply-reading.js';
import type { ListReading } from '../../servers/source/list-reading.js';
import type { ReadingStamp } from '../../servers/source/reading-stamp.js';
import { laterStamp, pollerKeyOf } from '../../servers/source/reading-stamp.js';
import { pushReadingStamp } from './announce.js';
import { adoptList } from './list-dissemination.js';
import type { GossipStep } from './gossip-step.js';
import { andThen, withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';
import { isSmallFleet } from './targets.js';
import { readingPushIntervalUs } from './timing.js';

/** The origin of the fleet's own time line: well above 0, so that earlier moments can be represented. */
export const timelineOriginUs: Micros = 1_000_000_000_000;

/** Pushes the latest reading stamp in a large fleet, whose heartbeats are too slow for it, but only once per interval. */
const pushIfLarge = (view: GossipView, from?: string): GossipStep => {
  const { read } = view;
  if (read === undefined || read.atUs < view.lastPushedReadingUs + readingPushIntervalUs || isSmallFleet(view))
    return withEffects(view);
  return pushReadingStamp({ ...view, lastPushedReadingUs: read.atUs }, from);
};

/**
 * Applies a reading to the polled list; ignored once a pushed list is known. If no time is known yet, the fleet's time
 * line starts here.
 */
export const onReading = (view: GossipView, reading: ListReading, begunAt: Micros): GossipStep => {
  if (view.list !== undefined && !isPolledList(view.list)) return withEffects(view);
  const platform = view.platform ?? { reachedUs: timelineOriginUs, atUs: view.atUs };
  const nowUs = lowerBoundAt(platform, view.atUs);
  const begunUs = Math.max(0, nowUs - Math.max(0, view.atUs - begunAt));
  const stamp: ReadingStamp = { atUs: begunUs, by: pollerKeyOf(view.self) };
  const readView = reading.whole
    ? { ...view, platform, ownReading: stamp, read: laterStamp(view.read, stamp) }
    : { ...view, platform };
  const list = applyReading(view.list, reading, nowUs, begunUs);
  return andThen(
    view.platform === undefined ? withEffects(readView, { type: 'time', platformUs: nowUs }) : withEffects(readView),
    (timedView) =>
      andThen(adoptList(timedView, list), (listedView) =>
        reading.whole ? pushIfLarge(listedView) : withEffects(listedView),
      ),
  );
};

/** Applies a peer's reading stamp, and relays it if it is due. */
export const adoptReadingStamp = (view: GossipView, read: ReadingStamp | undefined, from: string): GossipStep =>
  read === undefined || view.platform === undefined || read.by === pollerKeyOf(view.self)
    ? withEffects(view)
    : andThen(
        withEffects(
          { ...view, read: laterStamp(view.read, read) },
          { type: 'read', by: read.by, ageUs: Math.max(0, lowerBoundAt(view.platform, view.atUs) - read.atUs) },
        ),
        (readView) => pushIfLarge(readView, from),
      );
