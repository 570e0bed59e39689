import type { LivePeer } from '../peer/live-peer.js';
import type { MembershipUpdate } from '../peer/membership-update.js';
import type { Peer } from '../peer/peer.js';
import { hashOf } from './random.js';
import { withEffects, type GossipStep } from './gossip-step.js';
import type { GossipEffect } from './gossip-effect.js';
import type { GossipView } from './gossip-view.js';
import { membershipBuckets, lostPeerRetentionUs, suspicionTimeoutUs } from './timing.js';

const maxLostPeers = 512;
const expiryCheckIntervalUs = 400_000;

/**
 * The number of transmissions of an update per node, logarithmic in the fleet's size: enough to reach nearly all nodes.
 * The comparison of membership hashes repairs the rest.
 */
const transmissionsOf = (view: GossipView): number => Math.ceil(Math.log2(view.partners.size + 2));

const memberHash = (address: string, incarnation: number): number => hashOf(`${address}#${incarnation}`);

const memberHashIn = (view: GossipView, address: string): number => {
  if (address === view.self.address) return memberHash(address, view.incarnation);
  const known = view.partners.get(address);
  return known === undefined ? 0 : memberHash(address, known.incarnation);
};

const routerCountAt = (view: GossipView, address: string): number =>
  view.partners.get(address)?.partner.role === 'router' ? 1 : 0;

const lostRouterCountAt = (view: GossipView, address: string): number =>
  view.lost.get(address)?.partner.role === 'router' ? 1 : 0;

const bucketOf = (address: string): number => hashOf(address) % membershipBuckets;

/** A hash of the members of each bucket, by which two nodes find the buckets in which they differ. */
export const bucketHashesOf = (view: GossipView): readonly number[] => {
  const hashes = Array.from({ length: membershipBuckets }, () => 0);
  for (const address of [view.self.address, ...view.partners.keys()]) {
    const bucket = bucketOf(address);
    hashes[bucket] = ((hashes[bucket] ?? 0) ^ memberHashIn(view, address)) >>> 0;
  }
  return hashes;
};

/** Updates about all peers of the buckets whose hashes differ; without hashes to compare, about all live peers. */
export const updatesForDifferingBuckets = (
  view: GossipView,
  hashes: readonly number[] | undefined,
): readonly MembershipUpdate[] => {
  const own = hashes === undefined ? [] : bucketHashesOf(view);
  return [...view.partners.keys(), ...(hashes === undefined ? [] : view.lost.keys())]
    .filter((address) => hashes === undefined || own[bucketOf(address)] !== hashes[bucketOf(address)])
    .flatMap((address) => updatesAbout(view, address));
};

const routersEffect = ({ routers, lostRouters }: GossipView): GossipEffect => ({
  type: 'routers',
  routers,
  lost: lostRouters,
});

/** Completes a change of one entry: the membership hash, the counts of routers, the pending update and the effects. */
const completeChange = (former: GossipView, view: GossipView, address: string, isNew: boolean): GossipStep => {
  const routers = view.routers + routerCountAt(view, address) - routerCountAt(former, address);
  const lostRouters = view.lostRouters + lostRouterCountAt(view, address) - lostRouterCountAt(former, address);
  const next: GossipView = {
    ...view,
    crowd: (view.crowd ^ memberHashIn(former, address) ^ memberHashIn(view, address)) >>> 0,
    routers,
    lostRouters,
    pendingUpdates: view.pendingUpdates.set(address, transmissionsOf(view)),
  };
  return withEffects(
    next,
    ...(isNew ? [{ type: 'partners' as const }] : []),
    ...(routers + lostRouters === former.routers + former.lostRouters ? [] : [routersEffect(next)]),
  );
};

const isSameDescription = (left: Peer, right: Peer): boolean =>
  left.node === right.node && left.http === right.http && left.role === right.role && left.locality === right.locality;

const onAlive = (view: GossipView, { partner, incarnation }: MembershipUpdate): GossipStep => {
  const known = view.partners.get(partner.address);
  const lost = view.lost.get(partner.address);
  if (lost !== undefined && incarnation <= lost.incarnation) return withEffects(view);
  if (known !== undefined && incarnation <= known.incarnation) return withEffects(view);
  const entry: LivePeer = { partner, incarnation, heardUs: view.atUs, suspectUs: undefined };
  return completeChange(
    view,
    { ...view, partners: view.partners.set(partner.address, entry), lost: view.lost.delete(partner.address) },
    partner.address,
    known === undefined || !isSameDescription(known.partner, partner),
  );
};

const onSuspect = (view: GossipView, { partner, incarnation }: MembershipUpdate): GossipStep => {
  const known = view.partners.get(partner.address);
  if (known === undefined) return onAlive(view, { partner, incarnation, state: 'alive' });
  if (incarnation < known.incarnation || (incarnation === known.incarnation && known.suspectUs !== undefined))
    return withEffects(view);
  const entry: LivePeer = { ...known, incarnation, suspectUs: view.atUs };
  return completeChange(view, { ...view, partners: view.partners.set(partner.address, entry) }, partner.address, false);
};

const onDead = (view: GossipView, { partner, incarnation }: MembershipUpdate): GossipStep => {
  const { address } = partner;
  const known = view.partners.get(address);
  if (known === undefined || incarnation < known.incarnation) return withEffects(view);
  const lost = view.lost.set(address, { partner, incarnation, lostUs: view.atUs });
  const [oldest] = lost.keys();
  const introduced = new Set(view.introduced);
  introduced.delete(address);
  return completeChange(
    view,
    {
      ...view,
      partners: view.partners.delete(address),
      lost: lost.size > maxLostPeers && oldest !== undefined ? lost.delete(oldest) : lost,
      pendingProbes: view.pendingProbes.delete(address),
      introduced,
    },
    address,
    true,
  );
};

/** Refutes a wrong update about this process with a higher incarnation, as in SWIM. */
const onSelf = (view: GossipView, { state, incarnation }: MembershipUpdate): GossipStep => {
  const isRefuted = state === 'alive' ? incarnation > view.incarnation : incarnation >= view.incarnation;
  return isRefuted
    ? completeChange(view, { ...view, incarnation: incarnation + 1 }, view.self.address, false)
    : withEffects(view);
};

/** Applies an update unless a known one overrides it: a higher incarnation wins, then dead, suspect, alive, as in SWIM. */
export const applyUpdate = (view: GossipView, update: MembershipUpdate): GossipStep => {
  if (update.partner.address === view.self.address) return onSelf(view, update);
  switch (update.state) {
    case 'alive':
      return onAlive(view, update);
    case 'suspect':
      return onSuspect(view, update);
    case 'dead':
      return onDead(view, update);
  }
};

/** Applies the description that a peer gives of itself; it may change without a new incarnation. */
export const applyPeerDescription = (view: GossipView, partner: Peer, incarnation: number): GossipStep => {
  const known = view.partners.get(partner.address);
  if (known === undefined || incarnation > known.incarnation || isSameDescription(known.partner, partner))
    return applyUpdate(view, { partner, incarnation, state: 'alive' });
  return completeChange(
    view,
    { ...view, partners: view.partners.set(partner.address, { ...known, partner }) },
    partner.address,
    true,
  );
};

/** The update about an address as other nodes receive it; empty if the address is unknown. */
export const updatesAbout = (view: GossipView, address: string): readonly MembershipUpdate[] => {
  if (address === view.self.address) return [{ partner: view.self, incarnation: view.incarnation, state: 'alive' }];
  const known = view.partners.get(address);
  if (known !== undefined)
    return [
      {
        partner: known.partner,
        incarnation: known.incarnation,
        state: known.suspectUs === undefined ? 'alive' : 'suspect',
      },
    ];
  const lost = view.lost.get(address);
  return lost === undefined ? [] : [{ partner: lost.partner, incarnation: lost.incarnation, state: 'dead' }];
};

/**
 * Whether the known state of a peer overrides the incarnation that the peer sends: a higher incarnation, a suspicion or
 * its death. The peer must then be sent that state to refute it.
 */
export const isOverridden = (view: GossipView, address: string, incarnation: number): boolean => {
  const known = view.partners.get(address);
  if (known !== undefined)
    return known.incarnation > incarnation || (known.suspectUs !== undefined && known.incarnation >= incarnation);
  const lost = view.lost.get(address);
  return lost !== undefined && lost.incarnation >= incarnation;
};

/** Declares suspects dead that have not refuted the suspicion in time, and removes peers that were lost long ago. */
export const expirePeers = (view: GossipView): GossipStep => {
  if (view.atUs < view.lastExpiryCheckUs + expiryCheckIntervalUs) return withEffects(view);
  const overdue = [...view.partners.values()].filter(
    ({ suspectUs }) => suspectUs !== undefined && view.atUs > suspectUs + suspicionTimeoutUs,
  );
  const lost = view.lost.filter(({ lostUs }) => view.atUs <= lostUs + lostPeerRetentionUs);
  const retainedView = {
    ...view,
    lastExpiryCheckUs: view.atUs,
    lost,
    lostRouters: lost.count(({ partner }) => partner.role === 'router'),
  };
  const routersEffects = retainedView.lostRouters === view.lostRouters ? [] : [routersEffect(retainedView)];
  return overdue.reduce<GossipStep>(
    (step, { partner, incarnation }) => {
      const next = applyUpdate(step.view, { partner, incarnation, state: 'dead' });
      return { view: next.view, effects: [...step.effects, ...next.effects] };
    },
    withEffects(retainedView, ...routersEffects),
  );
};

/** The number of live routers, including this process if it is one. */
export const liveRouterCount = ({ routers }: GossipView): number => routers;

/** The number of routers that may share the fleet's limits: a lost one may be alive on the other side of a partition. */
export const liveAndLostRouterCount = ({ routers, lostRouters }: GossipView): number => routers + lostRouters;
