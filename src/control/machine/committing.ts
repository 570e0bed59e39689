import { applyCommand } from '../state/apply.js';
import type { ControlEffect } from './control-effect.js';
import { andThen, overAll, stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { entriesFrom, entryAt, lastIndexOf, membersOf, termAt, textCharsOf, votersOf } from './log-reading.js';
import { restingRoleOf, withRole } from './roles.js';
import { mostKeptEntries, mostKeptSetups, mostTextChars } from './timing.js';

const applied = (view: ControlView, index: number): ControlStep => {
  const entry = entryAt(view, index);
  if (entry === undefined) return stepped(view);
  const { state, outcome } = applyCommand(view.state, entry.command);
  const ask = view.asks.get(index);
  const asks = new Map(view.asks);
  asks.delete(index);
  const effects: readonly ControlEffect[] = [
    ...(state.record !== undefined && state.record !== view.state.record
      ? [{ type: 'taken' as const, record: state.record }]
      : []),
    ...(entry.command.type === 'members' ? [{ type: 'members' as const, members: entry.command.members }] : []),
    ...(ask === undefined ? [] : [{ type: 'receipt' as const, ask, receipt: { type: 'applied' as const, outcome } }]),
  ];
  return { view: { ...view, state, asks, commit: index }, effects };
};

/** Folds the log up to what is committed into the image. */
export const folded = (view: ControlView): ControlView => {
  if (view.commit === view.image.index) return view;
  const keptEntries = entriesFrom(view, view.commit + 1, view.entries.length);
  const foldedEntries = view.entries.slice(0, view.entries.length - keptEntries.length);
  return {
    ...view,
    image: {
      index: view.commit,
      term: termAt(view, view.commit) ?? view.image.term,
      members: membersOf({ image: view.image, entries: foldedEntries }),
      state: view.state,
    },
    entries: keptEntries,
  };
};

/** Whether the log is to be folded: it has many entries, or many or large whole setups. */
const isLong = (view: ControlView): boolean =>
  view.entries.length > mostKeptEntries ||
  view.entries.filter((entry) => entry.command.type === 'setup').length > mostKeptSetups ||
  view.entries.reduce((sum, entry) => sum + textCharsOf(entry), 0) > mostTextChars * 4;

/** Commits up to an index: applies, answers, folds. */
export const committedTo = (view: ControlView, index: number): ControlStep => {
  const reachedIndex = Math.min(index, lastIndexOf(view));
  if (reachedIndex <= view.commit) return stepped(view);
  const indexes = Array.from({ length: reachedIndex - view.commit }, (_, place) => view.commit + 1 + place);
  const step = overAll(stepped(view), indexes, applied);
  const reachedView = isLong(step.view) ? folded(step.view) : step.view;
  return andThen({ view: reachedView, effects: step.effects }, (foldedView) =>
    foldedView.role === 'learner' || foldedView.role === 'follower' || foldedView.role === 'unfounded'
      ? withRole(foldedView, { role: restingRoleOf(foldedView) })
      : stepped(foldedView),
  );
};

/** What a majority of voters holds, counting only entries of the leader's own term. */
export const leaderCommitted = (view: ControlView): ControlStep => {
  const voters = votersOf(view);
  const matches = voters
    .map((voter) =>
      voter.identity === view.identity ? lastIndexOf(view) : (view.progress.get(voter.identity)?.match ?? 0),
    )
    .sort((left, right) => right - left);
  const heldIndex = matches[Math.floor(voters.length / 2)] ?? 0;
  return termAt(view, heldIndex) === view.term ? committedTo(view, heldIndex) : stepped(view);
};
