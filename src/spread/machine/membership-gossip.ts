import { digestTo } from './digest.js';
import { nextDraw } from './draw.js';
import { isDisputed, withNews, withPartner } from './membership.js';
import type { Digest } from './spread-event.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';

/** Records whether the sender has this node's description, and applies the sender's own. */
const applySender = (view: SpreadView, from: string, digest: Digest): SpreadStep => {
  const introduced = new Set(view.introduced);
  if (digest.unknown === true) introduced.delete(from);
  else introduced.add(from);
  const isUnchanged = introduced.size === view.introduced.size && introduced.has(from) === view.introduced.has(from);
  const introducedView = isUnchanged ? view : { ...view, introduced };
  const known = view.partners.get(from);
  const partner = digest.partner ?? known?.partner ?? view.lost.get(from)?.partner;
  return partner === undefined || partner.address !== from
    ? stepped(introducedView)
    : withPartner(introducedView, partner, digest.incarnation);
};

/** Tracks since when membership differs from peers'; if it does for long, updates were missed. */
const compareMembership = (view: SpreadView, digest: Digest): SpreadView => {
  const lastFullSyncUs = digest.whole === true ? view.atUs : view.lastFullSyncUs;
  if (digest.crowd === view.crowd) return { ...view, lastFullSyncUs, divergedSinceUs: undefined };
  return {
    ...view,
    lastFullSyncUs,
    divergedSinceUs: digest.whole === true ? undefined : (view.divergedSinceUs ?? view.atUs),
  };
};

/**
 * Probes peers that an update has made suspect. About four nodes of the fleet do so for each suspect, so that one broken
 * link does not get a peer declared dead; SWIM has indirect probes for this.
 */
const probeSuspects = (view: SpreadView, suspects: readonly string[]): SpreadStep =>
  suspects.reduce<SpreadStep>((step, address) => {
    const drawn = nextDraw(step.view.randomState);
    const drawnView = { ...step.view, randomState: drawn.state };
    if (drawn.chance >= 4 / Math.max(1, drawnView.partners.size)) return { view: drawnView, effects: step.effects };
    return andThen({ view: drawnView, effects: step.effects }, (probingView) =>
      digestTo(probingView, address, { asks: 'digest' }),
    );
  }, stepped(view));

/**
 * Applies the membership in a digest. Responds with a digest if the sender requests one, lacks this node's description or
 * must refute an update, or if this node has just refuted one.
 */
export const withMembership = (view: SpreadView, from: string, digest: Digest): SpreadStep => {
  const wasSuspect = new Set(
    digest.partners.flatMap(({ partner }) =>
      view.partners.get(partner.address)?.suspectUs === undefined ? [] : [partner.address],
    ),
  );
  const { incarnation } = view;
  const applied = digest.partners.reduce<SpreadStep>(
    (step, update) => andThen(step, (next) => withNews(next, update)),
    applySender(view, from, digest),
  );
  const suspects = digest.partners.flatMap(({ partner: { address } }) =>
    applied.view.partners.get(address)?.suspectUs !== undefined && !wasSuspect.has(address) ? [address] : [],
  );
  return andThen(
    andThen(applied, (appliedView) => probeSuspects(appliedView, suspects)),
    (appliedView) => {
      const comparedView = compareMembership(appliedView, digest);
      const includesReceiver = isDisputed(comparedView, from, digest.incarnation);
      const needsResponse =
        digest.asks !== undefined ||
        digest.unknown === true ||
        includesReceiver ||
        comparedView.incarnation !== incarnation;
      return needsResponse
        ? digestTo(comparedView, from, {
            whole: digest.asks === 'whole',
            ...(digest.crowds === undefined ? {} : { crowds: digest.crowds }),
            includesReceiver,
          })
        : stepped(comparedView);
    },
  );
};
