import { createHash } from 'node:crypto';
import { longestStepUs } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import type { PeerRole } from '../../spread/peer/peer-role.js';
import { readerKeyOf } from './read-mark.js';
import type { SourceEvent } from './source-event.js';
import type { SourceView } from './source-view.js';

/** What the machine that asks wants done. */
export type SourceEffect = { readonly type: 'ask' };

export type SourceStep = {
  readonly view: SourceView;
  readonly effects: readonly SourceEffect[];
};

export const askedSpanUs: Micros = 500_000;
/** A reading that is older than this, and a part by rank, is nobody's care any more. */
export const staleReadUs: Micros = 1_200_000;
/** So long a node that begins or wakes waits for news of partners, and a part by rank. */
export const firstWaitUs: Micros = 400_000;
const controlRankUs: Micros = 150_000;
const routerRankUs: Micros = 450_000;
const leastBackoffUs: Micros = 700_000;
const mostBackoffUs: Micros = 4_000_000;

const partOf = (node: string): number => createHash('sha256').update(node).digest().readUInt16BE(0) / 65_536;

/** Core machines take over first, then routers, each at a moment of its own. */
export const rankUsOf = (role: PeerRole, node: string): Micros =>
  role === 'control'
    ? Math.floor(partOf(node) * controlRankUs)
    : controlRankUs + Math.floor(partOf(node) * routerRankUs);

export const startSourceView = (
  role: PeerRole,
  node: string,
  atUs: Micros,
  spanUs: Micros = askedSpanUs,
): SourceView => ({
  key: readerKeyOf({ role, node }),
  rankUs: rankUsOf(role, node),
  spanUs: Math.max(askedSpanUs, spanUs),
  atUs,
  sinceUs: atUs,
  freshUs: undefined,
  isAsker: false,
  askedUs: undefined,
  notBeforeUs: atUs,
  errors: 0,
});

const stepped = (view: SourceView, ...effects: readonly SourceEffect[]): SourceStep => ({ view, effects });

const isDue = (view: SourceView): boolean => {
  if (view.askedUs !== undefined || view.atUs < view.notBeforeUs) return false;
  if (view.isAsker) return true;
  return view.freshUs === undefined
    ? view.atUs >= view.sinceUs + firstWaitUs + view.rankUs
    : view.atUs > view.freshUs + staleReadUs + view.rankUs;
};

const backoffUs = ({ errors, rankUs }: SourceView, error: string): Micros =>
  error === 'over-rate'
    ? Math.min(mostBackoffUs, leastBackoffUs * 2 ** Math.min(errors, 8)) + rankUs
    : askedSpanUs + rankUs;

/** Who has not run for a while knows nothing fresh, and leaves the asking to others at first. */
const woken = (view: SourceView): SourceView => ({ ...view, sinceUs: view.atUs, freshUs: undefined, isAsker: false });

const onHeard = (view: SourceView, by: string, ageUs: Micros): SourceStep => {
  const readUs = view.atUs - Math.max(0, ageUs);
  if (by === view.key) return stepped(view);
  const isFresh = ageUs <= staleReadUs;
  return stepped({
    ...view,
    freshUs: Math.max(view.freshUs ?? readUs, readUs),
    isAsker: view.isAsker && !(isFresh && by < view.key),
  });
};

/** The machine of each node that sees to it that some node asks the platform, and as a rule only one. */
export const stepSource = (view: SourceView, event: SourceEvent): SourceStep => {
  const movedView = { ...view, atUs: Math.max(view.atUs, event.at) };
  const nowView = event.at - view.atUs >= longestStepUs ? woken(movedView) : movedView;
  switch (event.type) {
    case 'tick':
      return isDue(nowView)
        ? stepped({ ...nowView, askedUs: nowView.atUs, notBeforeUs: nowView.atUs + nowView.spanUs }, { type: 'ask' })
        : stepped(nowView);
    case 'heard':
      return onHeard(nowView, event.by, event.ageUs);
    case 'read': {
      const readUs = nowView.askedUs ?? nowView.atUs;
      const hadFresher = nowView.freshUs !== undefined && nowView.freshUs > readUs;
      return stepped({
        ...nowView,
        askedUs: undefined,
        freshUs: hadFresher ? nowView.freshUs : readUs,
        isAsker: nowView.isAsker || (!hadFresher && nowView.atUs <= readUs + staleReadUs),
        errors: 0,
      });
    }
    case 'error':
      return stepped({
        ...nowView,
        askedUs: undefined,
        isAsker: false,
        errors: nowView.errors + 1,
        notBeforeUs: Math.max(nowView.notBeforeUs, nowView.atUs + backoffUs(nowView, event.error)),
      });
  }
};
