import { boundAt } from '../../common/clock/time-bound.js';
import { isAsked } from '../../servers/list/asked-list.js';
import type { ReadMark } from '../../servers/source/read-mark.js';
import { staleReadUs } from '../../servers/source/source-machine.js';
import { crowdsOf, newsBeside, newsOf } from './membership.js';
import type { SpreadEffect } from './spread-effect.js';
import type { SpreadFrame } from './spread-event.js';
import { stepped, type SpreadStep } from './spread-step.js';
import type { SpreadView } from './spread-view.js';

/** What a digest is to carry beside what is known. */
export type DigestWish = {
  /** The whole membership, or what of it differs from these figures. */
  readonly whole?: boolean;
  readonly crowds?: readonly number[];
  readonly asks?: 'digest' | 'whole';
  readonly inquiry?: number;
  /** Whether the receiver is to hear what is said of itself. */
  readonly disputes?: boolean;
};

const mostChanges = 6;

export const revisionOf = (view: SpreadView): number => view.record?.revision ?? 0;
export const versionOf = (view: SpreadView): number => view.list?.version ?? 0;

export const listDigestOf = (view: SpreadView): string | undefined =>
  view.list !== undefined && isAsked(view.list) ? view.list.digest : undefined;

/** A reader tells of its own reading while that is fresh, so that two that read hear of each other. */
const toldRead = (view: SpreadView): ReadMark | undefined => {
  if (view.platform === undefined || view.ownRead === undefined) return view.read;
  return boundAt(view.platform, view.atUs) <= view.ownRead.atUs + staleReadUs ? view.ownRead : view.read;
};

/** The changes that were told least often, and what is then left to tell. */
const withChanges = (view: SpreadView): { readonly told: readonly string[]; readonly view: SpreadView } => {
  if (view.changed.size === 0) return { told: [], view };
  const told = [...view.changed]
    .sort(([, left], [, right]) => right - left)
    .slice(0, mostChanges)
    .map(([address]) => address);
  const changed = told.reduce((left, address) => {
    const count = (left.get(address) ?? 1) - 1;
    return count > 0 ? left.set(address, count) : left.delete(address);
  }, view.changed);
  return { told, view: { ...view, changed } };
};

/** A digest for one partner. */
export const digestTo = (view: SpreadView, address: string, wish: DigestWish = {}): SpreadStep => {
  const changes = withChanges(view);
  const isIntroduced = view.introduced.has(address);
  const told = new Set([
    ...(wish.disputes === true || view.partners.get(address)?.suspectUs !== undefined ? [address] : []),
    ...changes.told,
  ]);
  const frame: SpreadFrame = {
    type: 'digest',
    ...(isIntroduced ? {} : { partner: view.self }),
    incarnation: view.incarnation,
    revision: revisionOf(view),
    version: versionOf(view),
    listDigest: listDigestOf(view),
    read: toldRead(view),
    platformUs: view.platform === undefined ? undefined : boundAt(view.platform, view.atUs),
    partners:
      wish.whole === true
        ? [...newsBeside(view, wish.crowds), ...(wish.disputes === true ? newsOf(view, address) : [])]
        : [...told].flatMap((known) => newsOf(view, known)),
    crowd: view.crowd,
    ...(wish.whole === true ? { whole: true } : {}),
    ...(wish.asks === undefined ? {} : { asks: wish.asks }),
    ...(wish.asks === 'whole' && view.partners.size > 0 ? { crowds: crowdsOf(view) } : {}),
    ...(view.partners.has(address) ? {} : { unknown: true }),
    inquiry: wish.inquiry,
  };
  return stepped(changes.view, { type: 'send', address, frame });
};

/** A digest for each of some partners. */
export const digestsTo = (
  view: SpreadView,
  addresses: readonly string[],
  wishOf: (address: string) => DigestWish = () => ({}),
): SpreadStep => {
  const effects: SpreadEffect[] = [];
  let toldView = view;
  for (const address of addresses) {
    const step = digestTo(toldView, address, wishOf(address));
    toldView = step.view;
    effects.push(...step.effects);
  }
  return stepped(toldView, ...effects);
};
