import { digestTo } from './digest.js';
import { nextDraw } from './draw.js';
import { isDisputed, withNews, withPartner } from './membership.js';
import type { Digest } from './spread-event.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';

const heardOfSelf = (view: SpreadView, from: string, digest: Digest): SpreadStep => {
  const introduced = new Set(view.introduced);
  if (digest.unknown === true) introduced.delete(from);
  else introduced.add(from);
  const isNoted = introduced.size === view.introduced.size && introduced.has(from) === view.introduced.has(from);
  const notedView = isNoted ? view : { ...view, introduced };
  const known = view.partners.get(from);
  const partner = digest.partner ?? known?.partner ?? view.lost.get(from)?.partner;
  return partner === undefined || partner.address !== from
    ? stepped(notedView)
    : withPartner(notedView, partner, digest.incarnation);
};

/** When membership differs from a partner's for long, changes were missed, and the whole of it is asked for. */
const compared = (view: SpreadView, digest: Digest): SpreadView => {
  const wholeUs = digest.whole === true ? view.atUs : view.wholeUs;
  if (digest.crowd === view.crowd) return { ...view, wholeUs, differsUs: undefined };
  return { ...view, wholeUs, differsUs: digest.whole === true ? undefined : (view.differsUs ?? view.atUs) };
};

/** Some of those that newly hear of a suspicion look for themselves, so that one broken link ends nobody. */
const lookedAt = (view: SpreadView, suspects: readonly string[]): SpreadStep =>
  suspects.reduce<SpreadStep>((step, address) => {
    const drawn = nextDraw(step.view.draw);
    const drawnView = { ...step.view, draw: drawn.draw };
    if (drawn.chance >= 4 / Math.max(1, drawnView.partners.size)) return { view: drawnView, effects: step.effects };
    return andThen({ view: drawnView, effects: step.effects }, (askingView) =>
      digestTo(askingView, address, { asks: 'digest' }),
    );
  }, stepped(view));

export const withMembership = (view: SpreadView, from: string, digest: Digest): SpreadStep => {
  const wasSuspect = new Set(
    digest.partners.flatMap(({ partner }) =>
      view.partners.get(partner.address)?.suspectUs === undefined ? [] : [partner.address],
    ),
  );
  const { incarnation } = view;
  const folded = digest.partners.reduce<SpreadStep>(
    (step, news) => andThen(step, (foldedView) => withNews(foldedView, news)),
    heardOfSelf(view, from, digest),
  );
  const suspects = digest.partners.flatMap(({ partner: { address } }) =>
    folded.view.partners.get(address)?.suspectUs !== undefined && !wasSuspect.has(address) ? [address] : [],
  );
  return andThen(
    andThen(folded, (foldedView) => lookedAt(foldedView, suspects)),
    (foldedView) => {
      const comparedView = compared(foldedView, digest);
      const disputes = isDisputed(comparedView, from, digest.incarnation);
      const isDue =
        digest.asks !== undefined || digest.unknown === true || disputes || comparedView.incarnation !== incarnation;
      return isDue
        ? digestTo(comparedView, from, {
            whole: digest.asks === 'whole',
            ...(digest.crowds === undefined ? {} : { crowds: digest.crowds }),
            disputes,
          })
        : stepped(comparedView);
    },
  );
};
