import { boundAt } from '../../common/clock/time-bound.js';
import { digestTo, digestsTo } from './digest.js';
import { someOf } from './draw.js';
import { newsOf, withNews } from './membership.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { addressesOf, hasFew, somePartners } from './targets.js';
import {
  beatUsOf,
  differingSpanUs,
  digestSpanUs,
  probeSpanUs,
  probeTries,
  uneasyHeardUs,
  uneasyReadUs,
  wholeSpanUs,
} from './timing.js';

const digestsPerRoll = 5;

const digestsPerWhole = 25;

const awaiting = (view: SpreadView, addresses: readonly string[]): SpreadView => {
  const newlyAwaited = addresses.filter((address) => view.partners.has(address) && !view.awaited.has(address));
  return {
    ...view,
    awaited: newlyAwaited.reduce(
      (awaited, address) => awaited.set(address, { askedUs: view.atUs, tries: 1 }),
      view.awaited,
    ),
  };
};

/** Asks those again that owe a sign, and brings those under suspicion that went on owing it. */
export const withProbes = (view: SpreadView): SpreadStep => {
  const due = [...view.awaited].filter(([, { askedUs }]) => view.atUs >= askedUs + probeSpanUs);
  return due.reduce<SpreadStep>(
    (step, [address, { tries }]) =>
      andThen(step, (dueView) => {
        if (tries < probeTries)
          return digestTo(
            { ...dueView, awaited: dueView.awaited.set(address, { askedUs: dueView.atUs, tries: tries + 1 }) },
            address,
            { asks: 'digest' },
          );
        const waitedView = { ...dueView, awaited: dueView.awaited.delete(address) };
        const [news] = newsOf(waitedView, address);
        return news === undefined || news.state !== 'alive'
          ? stepped(waitedView)
          : withNews(waitedView, { ...news, state: 'suspect' });
      }),
    stepped(view),
  );
};

/** Who has not heard of anybody, or of a whole reading, for a while, asks some at once. */
export const withUnease = (view: SpreadView): SpreadStep => {
  if (hasFew(view) || view.atUs < view.uneasyUs) return stepped(view);
  const isReadOld =
    view.read !== undefined &&
    view.platform !== undefined &&
    boundAt(view.platform, view.atUs) > view.read.atUs + uneasyReadUs;
  if (!isReadOld && view.atUs <= view.heardUs + uneasyHeardUs) return stepped(view);
  const { targets, view: drawnView } = somePartners({ ...view, uneasyUs: view.atUs + digestSpanUs }, 2);
  return digestsTo(drawnView, targets, () => ({ asks: 'digest' }));
};

/** One partner after the other, each once a round, in an order by chance. */
const nextOfRound = (view: SpreadView): { readonly target: string | undefined; readonly view: SpreadView } => {
  const living = view.round.filter((address) => view.partners.has(address));
  if (living.length > 0) return { target: living[0], view: { ...view, round: living.slice(1) } };
  const shuffled = someOf(view.draw, [...view.partners.keys()], view.partners.size);
  return { target: shuffled.some[0], view: { ...view, draw: shuffled.draw, round: shuffled.some.slice(1) } };
};

const asksWhole = (view: SpreadView): boolean =>
  view.wholeUs === Number.NEGATIVE_INFINITY ||
  (view.differsUs !== undefined &&
    view.atUs > view.differsUs + differingSpanUs &&
    view.atUs > view.wholeUs + wholeSpanUs);

/** A seed, or one that was given up, by turns: whoever was cut off for long is met again by it. */
const farOne = (view: SpreadView): { readonly targets: readonly string[]; readonly view: SpreadView } => {
  if (view.digests % digestsPerRoll !== 0) return { targets: [], view };
  const missing = [...new Set([...view.seeds, ...view.lost.keys()])].filter(
    (address) => address !== view.self.address && !view.partners.has(address),
  );
  const drawn = someOf(view.draw, missing, 1);
  return { targets: drawn.some, view: { ...view, draw: drawn.draw } };
};

/** A beat of a fleet of few goes to all, with all partners now and then. */
const beatToAll = (view: SpreadView): SpreadStep => {
  const isFull = view.digests % digestsPerWhole === 0;
  const addresses = addressesOf(view);
  const wholeFrom = asksWhole(view) ? addresses[view.digests % addresses.length] : undefined;
  return digestsTo(awaiting(view, addresses), addresses, (address) =>
    address === wholeFrom ? { asks: 'whole' } : { whole: isFull },
  );
};

/** A beat of a larger one goes to the next of the round and to one by chance, and sometimes to one that was given up. */
const beatToSome = (view: SpreadView): SpreadStep => {
  const round = nextOfRound(view);
  const near = somePartners(round.view, 1, round.target);
  const far = farOne(near.view);
  const targets = [
    ...new Set([...(round.target === undefined ? [] : [round.target]), ...near.targets, ...far.targets]),
  ];
  const wholeFrom = asksWhole(far.view) ? targets[0] : undefined;
  const askingView = wholeFrom === undefined ? far.view : { ...far.view, wholeUs: view.atUs };
  return digestsTo(awaiting(askingView, targets), targets, (address) => ({
    asks: address === wholeFrom ? 'whole' : 'digest',
  }));
};

export const withBeat = (view: SpreadView): SpreadStep => {
  if (view.atUs < view.digestUs) return stepped(view);
  const isFew = hasFew(view);
  const dueView = { ...view, digestUs: view.atUs + (isFew ? digestSpanUs : beatUsOf(view.partners.size)) };
  return andThen(isFew ? beatToAll(dueView) : beatToSome(dueView), (toldView) =>
    stepped({ ...toldView, digests: toldView.digests + 1 }),
  );
};
