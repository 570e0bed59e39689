import type { Micros } from '../../common/micros.js';
import type { LogEntry } from '../log/log-entry.js';
import type { ControlEffect } from './control-effect.js';
import { stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { isVoter, membersOf } from './log-reading.js';
import type { Role } from './role.js';
import { electionSpanUs } from './timing.js';

export const electionMoment = (view: ControlView, chance: number): Micros =>
  view.atUs + electionSpanUs + Math.floor(chance * electionSpanUs);

/** The role of a machine that neither leads nor stands for election. */
export const restingRoleOf = (view: ControlView): Role => {
  if (membersOf(view).length === 0) return 'unfounded';
  return isVoter(view, view.identity) ? 'follower' : 'learner';
};

const roleEffects = (former: ControlView, view: ControlView): readonly ControlEffect[] =>
  former.role === view.role && former.leader === view.leader
    ? []
    : [{ type: 'role', role: view.role, term: view.term, leader: view.leader }];

/** Goes to another role; what was asked of a leader that steps down is undecided, its reads begin anew. */
export const withRole = (view: ControlView, change: Partial<ControlView>): ControlStep => {
  const changedView = { ...view, ...change };
  const stepsDown = view.role === 'leader' && changedView.role !== 'leader';
  const restedView: ControlView = stepsDown
    ? { ...changedView, asks: new Map(), reads: [], progress: new Map() }
    : changedView;
  return stepped(
    restedView,
    ...(stepsDown
      ? [...view.asks.values()].map((ask): ControlEffect => ({ type: 'receipt', ask, receipt: { type: 'undecided' } }))
      : []),
    ...(stepsDown
      ? view.reads.map((read): ControlEffect => ({
          type: 'receipt',
          ask: read.ask,
          receipt: { type: 'not-leader', leader: undefined },
        }))
      : []),
    ...roleEffects(view, restedView),
  );
};

/** Follows a term, and the leader of it when that is known. */
export const followed = (view: ControlView, term: number, leader: string | undefined, chance: number): ControlStep => {
  const isNewTerm = term > view.term;
  const termView: ControlView = isNewTerm ? { ...view, term, votedFor: undefined } : view;
  const step = withRole(termView, {
    role: restingRoleOf(view),
    leader,
    votes: new Set(),
    electionUs: electionMoment(view, chance),
  });
  return isNewTerm
    ? {
        view: step.view,
        effects: [{ type: 'keep', record: { type: 'vote', term, votedFor: undefined } }, ...step.effects],
      }
    : step;
};

export const withEntries = (view: ControlView, entries: readonly LogEntry[]): ControlView => {
  const firstIndex = entries[0]?.index;
  if (firstIndex === undefined) return view;
  return { ...view, entries: [...view.entries.slice(0, Math.max(0, firstIndex - view.image.index - 1)), ...entries] };
};
