import { boundAt } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import { isAsked } from '../../servers/list/asked-list.js';
import { foldReading } from '../../servers/source/fold-reading.js';
import type { ListReading } from '../../servers/source/list-reading.js';
import type { ReadMark } from '../../servers/source/read-mark.js';
import { laterMark, readerKeyOf } from '../../servers/source/read-mark.js';
import { pushedReading } from './announce.js';
import { withList } from './list-dissemination.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { hasFew } from './targets.js';
import { pushedReadSpanUs } from './timing.js';

/** The origin of the fleet's own time line: well above 0, so that earlier moments can be represented. */
export const lineStartUs: Micros = 1_000_000_000_000;

/** Pushes the latest reading stamp in a large fleet, whose heartbeats are too slow for it, but only once per interval. */
const pushIfLarge = (view: SpreadView, from?: string): SpreadStep => {
  const { read } = view;
  if (read === undefined || read.atUs < view.lastPushedReadingUs + pushedReadSpanUs || hasFew(view))
    return stepped(view);
  return pushedReading({ ...view, lastPushedReadingUs: read.atUs }, from);
};

/**
 * Applies a reading to the polled list; ignored once a pushed list is known. If no time is known yet, the fleet's time
 * line starts here.
 */
export const onReading = (view: SpreadView, reading: ListReading, begunAt: Micros): SpreadStep => {
  if (view.list !== undefined && !isAsked(view.list)) return stepped(view);
  const platform = view.platform ?? { reachedUs: lineStartUs, atUs: view.atUs };
  const nowUs = boundAt(platform, view.atUs);
  const begunUs = Math.max(0, nowUs - Math.max(0, view.atUs - begunAt));
  const stamp: ReadMark = { atUs: begunUs, by: readerKeyOf(view.self) };
  const readView = reading.whole
    ? { ...view, platform, ownReading: stamp, read: laterMark(view.read, stamp) }
    : { ...view, platform };
  const list = foldReading(view.list, reading, nowUs, begunUs);
  return andThen(
    view.platform === undefined ? stepped(readView, { type: 'time', platformUs: nowUs }) : stepped(readView),
    (timedView) =>
      andThen(withList(timedView, list), (listedView) =>
        reading.whole ? pushIfLarge(listedView) : stepped(listedView),
      ),
  );
};

/** Applies a peer's reading stamp, and relays it if it is due. */
export const withRead = (view: SpreadView, read: ReadMark | undefined, from: string): SpreadStep =>
  read === undefined || view.platform === undefined || read.by === readerKeyOf(view.self)
    ? stepped(view)
    : andThen(
        stepped(
          { ...view, read: laterMark(view.read, read) },
          { type: 'read', by: read.by, ageUs: Math.max(0, boundAt(view.platform, view.atUs) - read.atUs) },
        ),
        (readView) => pushIfLarge(readView, from),
      );
