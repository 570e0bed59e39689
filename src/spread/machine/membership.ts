import type { KnownPartner } from '../partner/known-partner.js';
import type { PartnerNews } from '../partner/partner-news.js';
import type { Partner } from '../partner/partner.js';
import { drawOf } from './draw.js';
import { stepped, type SpreadStep } from './spread-step.js';
import type { SpreadEffect } from './spread-effect.js';
import type { SpreadView } from './spread-view.js';
import { crowdBuckets, lostSpanUs, suspectSpanUs } from './timing.js';

const maxLostPeers = 512;
const expiryCheckIntervalUs = 400_000;

/**
 * The number of transmissions of an update per node, logarithmic in the fleet's size: enough to reach nearly all nodes.
 * The comparison of membership hashes repairs the rest.
 */
const transmissionsOf = (view: SpreadView): number => Math.ceil(Math.log2(view.partners.size + 2));

const memberHash = (address: string, incarnation: number): number => drawOf(`${address}#${incarnation}`);

const memberHashIn = (view: SpreadView, address: string): number => {
  if (address === view.self.address) return memberHash(address, view.incarnation);
  const known = view.partners.get(address);
  return known === undefined ? 0 : memberHash(address, known.incarnation);
};

const routerCountAt = (view: SpreadView, address: string): number =>
  view.partners.get(address)?.partner.role === 'router' ? 1 : 0;

const lostRouterCountAt = (view: SpreadView, address: string): number =>
  view.lost.get(address)?.partner.role === 'router' ? 1 : 0;

const bucketOf = (address: string): number => drawOf(address) % crowdBuckets;

/** A hash of the members of each bucket, by which two nodes find the buckets in which they differ. */
export const crowdsOf = (view: SpreadView): readonly number[] => {
  const hashes = Array.from({ length: crowdBuckets }, () => 0);
  for (const address of [view.self.address, ...view.partners.keys()]) {
    const bucket = bucketOf(address);
    hashes[bucket] = ((hashes[bucket] ?? 0) ^ memberHashIn(view, address)) >>> 0;
  }
  return hashes;
};

/** Updates about all peers of the buckets whose hashes differ; without hashes to compare, about all live peers. */
export const newsBeside = (view: SpreadView, hashes: readonly number[] | undefined): readonly PartnerNews[] => {
  const own = hashes === undefined ? [] : crowdsOf(view);
  return [...view.partners.keys(), ...(hashes === undefined ? [] : view.lost.keys())]
    .filter((address) => hashes === undefined || own[bucketOf(address)] !== hashes[bucketOf(address)])
    .flatMap((address) => newsOf(view, address));
};

const routersEffect = ({ routers, lostRouters }: SpreadView): SpreadEffect => ({
  type: 'routers',
  routers,
  lost: lostRouters,
});

/** Completes a change of one entry: the membership hash, the counts of routers, the pending update and the effects. */
const completeChange = (former: SpreadView, view: SpreadView, address: string, isNew: boolean): SpreadStep => {
  const routers = view.routers + routerCountAt(view, address) - routerCountAt(former, address);
  const lostRouters = view.lostRouters + lostRouterCountAt(view, address) - lostRouterCountAt(former, address);
  const next: SpreadView = {
    ...view,
    crowd: (view.crowd ^ memberHashIn(former, address) ^ memberHashIn(view, address)) >>> 0,
    routers,
    lostRouters,
    pendingUpdates: view.pendingUpdates.set(address, transmissionsOf(view)),
  };
  return stepped(
    next,
    ...(isNew ? [{ type: 'partners' as const }] : []),
    ...(routers + lostRouters === former.routers + former.lostRouters ? [] : [routersEffect(next)]),
  );
};

const isSameDescription = (left: Partner, right: Partner): boolean =>
  left.node === right.node && left.http === right.http && left.role === right.role && left.locality === right.locality;

const onAlive = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const known = view.partners.get(partner.address);
  const lost = view.lost.get(partner.address);
  if (lost !== undefined && incarnation <= lost.incarnation) return stepped(view);
  if (known !== undefined && incarnation <= known.incarnation) return stepped(view);
  const entry: KnownPartner = { partner, incarnation, heardUs: view.atUs, suspectUs: undefined };
  return completeChange(
    view,
    { ...view, partners: view.partners.set(partner.address, entry), lost: view.lost.delete(partner.address) },
    partner.address,
    known === undefined || !isSameDescription(known.partner, partner),
  );
};

const onSuspect = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const known = view.partners.get(partner.address);
  if (known === undefined) return onAlive(view, { partner, incarnation, state: 'alive' });
  if (incarnation < known.incarnation || (incarnation === known.incarnation && known.suspectUs !== undefined))
    return stepped(view);
  const entry: KnownPartner = { ...known, incarnation, suspectUs: view.atUs };
  return completeChange(view, { ...view, partners: view.partners.set(partner.address, entry) }, partner.address, false);
};

const onDead = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const { address } = partner;
  const known = view.partners.get(address);
  if (known === undefined || incarnation < known.incarnation) return stepped(view);
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
const onSelf = (view: SpreadView, { state, incarnation }: PartnerNews): SpreadStep => {
  const isRefuted = state === 'alive' ? incarnation > view.incarnation : incarnation >= view.incarnation;
  return isRefuted
    ? completeChange(view, { ...view, incarnation: incarnation + 1 }, view.self.address, false)
    : stepped(view);
};

/** Applies an update unless a known one overrides it: a higher incarnation wins, then dead, suspect, alive, as in SWIM. */
export const withNews = (view: SpreadView, update: PartnerNews): SpreadStep => {
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
export const withPartner = (view: SpreadView, partner: Partner, incarnation: number): SpreadStep => {
  const known = view.partners.get(partner.address);
  if (known === undefined || incarnation > known.incarnation || isSameDescription(known.partner, partner))
    return withNews(view, { partner, incarnation, state: 'alive' });
  return completeChange(
    view,
    { ...view, partners: view.partners.set(partner.address, { ...known, partner }) },
    partner.address,
    true,
  );
};

/** The update about an address as other nodes receive it; empty if the address is unknown. */
export const newsOf = (view: SpreadView, address: string): readonly PartnerNews[] => {
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
export const isDisputed = (view: SpreadView, address: string, incarnation: number): boolean => {
  const known = view.partners.get(address);
  if (known !== undefined)
    return known.incarnation > incarnation || (known.suspectUs !== undefined && known.incarnation >= incarnation);
  const lost = view.lost.get(address);
  return lost !== undefined && lost.incarnation >= incarnation;
};

/** Declares suspects dead that have not refuted the suspicion in time, and removes peers that were lost long ago. */
export const withoutOverdue = (view: SpreadView): SpreadStep => {
  if (view.atUs < view.lastExpiryCheckUs + expiryCheckIntervalUs) return stepped(view);
  const overdue = [...view.partners.values()].filter(
    ({ suspectUs }) => suspectUs !== undefined && view.atUs > suspectUs + suspectSpanUs,
  );
  const lost = view.lost.filter(({ lostUs }) => view.atUs <= lostUs + lostSpanUs);
  const retainedView = {
    ...view,
    lastExpiryCheckUs: view.atUs,
    lost,
    lostRouters: lost.count(({ partner }) => partner.role === 'router'),
  };
  const routersEffects = retainedView.lostRouters === view.lostRouters ? [] : [routersEffect(retainedView)];
  return overdue.reduce<SpreadStep>(
    (step, { partner, incarnation }) => {
      const next = withNews(step.view, { partner, incarnation, state: 'dead' });
      return { view: next.view, effects: [...step.effects, ...next.effects] };
    },
    stepped(retainedView, ...routersEffects),
  );
};

/** The number of live routers, including this process if it is one. */
export const livingRoutersOf = ({ routers }: SpreadView): number => routers;

/** The number of routers that may share the fleet's limits: a lost one may be alive on the other side of a partition. */
export const sharingRoutersOf = ({ routers, lostRouters }: SpreadView): number => routers + lostRouters;
