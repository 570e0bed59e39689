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

/** Where a fleet's own time line begins: well above 0, so that a moment before it can be named. */
export const lineStartUs: Micros = 1_000_000_000_000;

/** Beats of a larger fleet are too slow for the news that a reading was made; it is handed on at once. */
const pushedRead = (view: SpreadView, from?: string): SpreadStep => {
  const { read } = view;
  if (read === undefined || read.atUs < view.pushedReadUs + pushedReadSpanUs || hasFew(view)) return stepped(view);
  return pushedReading({ ...view, pushedReadUs: read.atUs }, from);
};

/** Folds a reading into the list. Where nobody knows a time yet, the line of the fleet begins here. */
export const withReading = (view: SpreadView, reading: ListReading, begunAt: Micros): SpreadStep => {
  if (view.list !== undefined && !isAsked(view.list)) return stepped(view);
  const platform = view.platform ?? { reachedUs: lineStartUs, atUs: view.atUs };
  const nowUs = boundAt(platform, view.atUs);
  const begunUs = Math.max(0, nowUs - Math.max(0, view.atUs - begunAt));
  const mark: ReadMark = { atUs: begunUs, by: readerKeyOf(view.self) };
  const readView = reading.whole
    ? { ...view, platform, ownRead: mark, read: laterMark(view.read, mark) }
    : { ...view, platform };
  const list = foldReading(view.list, reading, nowUs, begunUs);
  return andThen(
    view.platform === undefined ? stepped(readView, { type: 'time', platformUs: nowUs }) : stepped(readView),
    (timedView) =>
      andThen(withList(timedView, list), (listedView) =>
        reading.whole ? pushedRead(listedView) : stepped(listedView),
      ),
  );
};

export const withRead = (view: SpreadView, read: ReadMark | undefined, from: string): SpreadStep =>
  read === undefined || view.platform === undefined || read.by === readerKeyOf(view.self)
    ? stepped(view)
    : andThen(
        stepped(
          { ...view, read: laterMark(view.read, read) },
          { type: 'read', by: read.by, ageUs: Math.max(0, boundAt(view.platform, view.atUs) - read.atUs) },
        ),
        (readView) => pushedRead(readView, from),
      );
