import { sendDigest } from './digest.js';
import { nextRandom } from './random.js';
import { isOverridden, applyUpdate, applyPeerDescription } from './membership.js';
import type { Digest } from './gossip-event.js';
import type { GossipStep } from './gossip-step.js';
import { andThen, withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';

/** Records whether the sender has this node's description, and applies the sender's own. */
const applySender = (view: GossipView, from: string, digest: Digest): GossipStep => {
  const introduced = new Set(view.introduced);
  if (digest.unknown === true) introduced.delete(from);
  else introduced.add(from);
  const isUnchanged = introduced.size === view.introduced.size && introduced.has(from) === view.introduced.has(from);
  const introducedView = isUnchanged ? view : { ...view, introduced };
  const known = view.partners.get(from);
  const partner = digest.partner ?? known?.partner ?? view.lost.get(from)?.partner;
  return partner === undefined || partner.address !== from
    ? withEffects(introducedView)
    : applyPeerDescription(introducedView, partner, digest.incarnation);
};

/** Tracks since when membership differs from peers'; if it does for long, updates were missed. */
const compareMembership = (view: GossipView, digest: Digest): GossipView => {
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
const probeSuspects = (view: GossipView, suspects: readonly string[]): GossipStep =>
  suspects.reduce<GossipStep>((step, address) => {
    const drawn = nextRandom(step.view.randomState);
    const drawnView = { ...step.view, randomState: drawn.state };
    if (drawn.chance >= 4 / Math.max(1, drawnView.partners.size)) return { view: drawnView, effects: step.effects };
    return andThen({ view: drawnView, effects: step.effects }, (probingView) =>
      sendDigest(probingView, address, { asks: 'digest' }),
    );
  }, withEffects(view));

/**
 * Applies the membership in a digest. Responds with a digest if the sender requests one, lacks this node's description or
 * must refute an update, or if this node has just refuted one.
 */
export const applyMembership = (view: GossipView, from: string, digest: Digest): GossipStep => {
  const wasSuspect = new Set(
    digest.partners.flatMap(({ partner }) =>
      view.partners.get(partner.address)?.suspectUs === undefined ? [] : [partner.address],
    ),
  );
  const { incarnation } = view;
  const applied = digest.partners.reduce<GossipStep>(
    (step, update) => andThen(step, (next) => applyUpdate(next, update)),
    applySender(view, from, digest),
  );
  const suspects = digest.partners.flatMap(({ partner: { address } }) =>
    applied.view.partners.get(address)?.suspectUs !== undefined && !wasSuspect.has(address) ? [address] : [],
  );
  return andThen(
    andThen(applied, (appliedView) => probeSuspects(appliedView, suspects)),
    (appliedView) => {
      const comparedView = compareMembership(appliedView, digest);
      const includesReceiver = isOverridden(comparedView, from, digest.incarnation);
      const needsResponse =
        digest.asks !== undefined ||
        digest.unknown === true ||
        includesReceiver ||
        comparedView.incarnation !== incarnation;
      return needsResponse
        ? sendDigest(comparedView, from, {
            whole: digest.asks === 'whole',
            ...(digest.crowds === undefined ? {} : { crowds: digest.crowds }),
            includesReceiver,
          })
        : withEffects(comparedView);
    },
  );
};
