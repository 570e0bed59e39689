import type { LogEntry } from '../log/log-entry.js';
import { committedTo } from './committing.js';
import { andThen, stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { entriesFrom, lastIndexOf, termAt } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { followed, withEntries } from './roles.js';

type Append = Extract<ControlMessage, { readonly type: 'append' }>;
type Install = Extract<ControlMessage, { readonly type: 'install' }>;

const heard = (view: ControlView, from: string, chance: number): ControlStep =>
  followed({ ...view, heardLeaderUs: view.atUs }, view.term, from, chance);

const repliedTo = (view: ControlView, to: string, matches: boolean, index: number, round: number): ControlStep =>
  stepped(view, { type: 'send', to, message: { type: 'appendBack', term: view.term, matches, index, round } });

const firstNew = (view: ControlView, entries: readonly LogEntry[]): number =>
  entries.findIndex((entry) => entry.index > view.image.index && termAt(view, entry.index) !== entry.term);

const takenOver = (view: ControlView, entries: readonly LogEntry[]): ControlStep => {
  const newPlace = firstNew(view, entries);
  if (newPlace < 0) return stepped(view);
  const newEntries = entries.slice(newPlace);
  return stepped(withEntries(view, newEntries), { type: 'keep', record: { type: 'entries', entries: newEntries } });
};

export const onAppend = (view: ControlView, from: string, message: Append, chance: number): ControlStep => {
  if (message.term < view.term) return repliedTo(view, from, false, lastIndexOf(view), message.round);
  return andThen(heard(view, from, chance), (heardView) => {
    const isBehindImage = message.previousIndex < heardView.image.index;
    if (!isBehindImage && termAt(heardView, message.previousIndex) !== message.previousTerm)
      return repliedTo(
        heardView,
        from,
        false,
        Math.min(lastIndexOf(heardView), message.previousIndex - 1),
        message.round,
      );
    const reachedIndex = message.previousIndex + message.entries.length;
    return andThen(
      andThen(takenOver(heardView, message.entries), (longerView) =>
        committedTo(longerView, Math.min(message.commit, reachedIndex)),
      ),
      (reachedView) =>
        repliedTo(
          reachedView,
          from,
          true,
          Math.max(reachedIndex, Math.min(reachedView.commit, lastIndexOf(reachedView))),
          message.round,
        ),
    );
  });
};

/**
 * Takes a whole image from the leader when its log no longer reaches back far enough. What stands behind
 * the image in the same log stays: it may have been acknowledged before a late image came.
 */
export const onInstall = (view: ControlView, from: string, message: Install, chance: number): ControlStep => {
  if (message.term < view.term) return repliedTo(view, from, false, lastIndexOf(view), message.round);
  return andThen(heard(view, from, chance), (heardView) => {
    const { image } = message;
    if (image.index <= heardView.commit) return repliedTo(heardView, from, true, heardView.commit, message.round);
    const entries =
      termAt(heardView, image.index) === image.term
        ? entriesFrom(heardView, image.index + 1, heardView.entries.length)
        : [];
    const installedView: ControlView = { ...heardView, image, entries, commit: image.index, state: image.state };
    const kept = stepped(
      installedView,
      { type: 'keep', record: { type: 'image', image } },
      ...(entries.length === 0 ? [] : [{ type: 'keep' as const, record: { type: 'entries' as const, entries } }]),
      { type: 'members', members: image.members },
      ...(image.state.record === undefined ? [] : [{ type: 'taken' as const, record: image.state.record }]),
    );
    return andThen(kept, (keptView) => repliedTo(keptView, from, true, image.index, message.round));
  });
};
