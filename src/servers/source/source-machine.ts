import { createHash } from 'node:crypto';
import { longestStepUs } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import type { PeerRole } from '../../spread/peer/peer-role.js';
import { readerKeyOf } from './read-mark.js';
import type { SourceEvent } from './source-event.js';
import type { SourceView } from './source-view.js';

/** Effect of the poller election: poll the platform now. */
export type SourceEffect = { readonly type: 'ask' };

export type SourceStep = {
  readonly view: SourceView;
  readonly effects: readonly SourceEffect[];
};

/** Least time between the starts of two polls. */
export const askedSpanUs: Micros = 500_000;
/** The poller counts as lost when its latest reading began this long ago; each node adds its own takeover delay. */
export const staleReadUs: Micros = 1_200_000;
/** How long a node waits for readings of its peers after a start or a pause, before its takeover delay. */
export const firstWaitUs: Micros = 400_000;
const controlTakeoverUs: Micros = 150_000;
const routerTakeoverUs: Micros = 450_000;
const minBackoffUs: Micros = 700_000;
const maxBackoffUs: Micros = 4_000_000;

const hashFraction = (node: string): number => createHash('sha256').update(node).digest().readUInt16BE(0) / 65_536;

/** Takeover delay, derived from a hash of the name: control nodes take over first, then routers. */
export const rankUsOf = (role: PeerRole, node: string): Micros =>
  role === 'control'
    ? Math.floor(hashFraction(node) * controlTakeoverUs)
    : controlTakeoverUs + Math.floor(hashFraction(node) * routerTakeoverUs);

export const startSourceView = (
  role: PeerRole,
  node: string,
  atUs: Micros,
  pollIntervalUs: Micros = askedSpanUs,
): SourceView => ({
  key: readerKeyOf({ role, node }),
  rankUs: rankUsOf(role, node),
  spanUs: Math.max(askedSpanUs, pollIntervalUs),
  atUs,
  sinceUs: atUs,
  freshUs: undefined,
  isAsker: false,
  askedUs: undefined,
  notBeforeUs: atUs,
  errors: 0,
});

const withEffects = (view: SourceView, ...effects: readonly SourceEffect[]): SourceStep => ({ view, effects });

const isDue = (view: SourceView): boolean => {
  if (view.askedUs !== undefined || view.atUs < view.notBeforeUs) return false;
  if (view.isAsker) return true;
  return view.freshUs === undefined
    ? view.atUs >= view.sinceUs + firstWaitUs + view.rankUs
    : view.atUs > view.freshUs + staleReadUs + view.rankUs;
};

const backoffUs = ({ errors, rankUs: delayUs }: SourceView, error: string): Micros =>
  error === 'over-rate'
    ? Math.min(maxBackoffUs, minBackoffUs * 2 ** Math.min(errors, 8)) + delayUs
    : askedSpanUs + delayUs;

/** After a pause of this process its latest reading is outdated and another node may be the poller: it steps down and waits. */
const afterPause = (view: SourceView): SourceView => ({
  ...view,
  sinceUs: view.atUs,
  freshUs: undefined,
  isAsker: false,
});

const onHeard = (view: SourceView, by: string, ageUs: Micros): SourceStep => {
  const readUs = view.atUs - Math.max(0, ageUs);
  if (by === view.key) return withEffects(view);
  const isFresh = ageUs <= staleReadUs;
  return withEffects({
    ...view,
    freshUs: Math.max(view.freshUs ?? readUs, readUs),
    isAsker: view.isAsker && !(isFresh && by < view.key),
  });
};

/**
 * State machine by which the nodes elect the poller, the one node that polls the platform. A node takes over when it has
 * learned of no fresh reading for a while, and steps down when a peer with a lesser key reports one. Two nodes may poll for a
 * short time; the merge of lists tolerates that.
 */
export const stepSource = (view: SourceView, event: SourceEvent): SourceStep => {
  const advanced = { ...view, atUs: Math.max(view.atUs, event.at) };
  const current = event.at - view.atUs >= longestStepUs ? afterPause(advanced) : advanced;
  switch (event.type) {
    case 'tick':
      return isDue(current)
        ? withEffects(
            { ...current, askedUs: current.atUs, notBeforeUs: current.atUs + current.spanUs },
            { type: 'ask' },
          )
        : withEffects(current);
    case 'heard':
      return onHeard(current, event.by, event.ageUs);
    case 'read': {
      const readUs = current.askedUs ?? current.atUs;
      const hasLaterReading = current.freshUs !== undefined && current.freshUs > readUs;
      return withEffects({
        ...current,
        askedUs: undefined,
        freshUs: hasLaterReading ? current.freshUs : readUs,
        isAsker: current.isAsker || (!hasLaterReading && current.atUs <= readUs + staleReadUs),
        errors: 0,
      });
    }
    case 'error':
      return withEffects({
        ...current,
        askedUs: undefined,
        isAsker: false,
        errors: current.errors + 1,
        notBeforeUs: Math.max(current.notBeforeUs, current.atUs + backoffUs(current, event.error)),
      });
  }
};
