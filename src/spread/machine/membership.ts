import type { KnownPartner } from '../partner/known-partner.js';
import type { PartnerNews } from '../partner/partner-news.js';
import type { Partner } from '../partner/partner.js';
import { drawOf } from './draw.js';
import { stepped, type SpreadStep } from './spread-step.js';
import type { SpreadEffect } from './spread-effect.js';
import type { SpreadView } from './spread-view.js';
import { crowdBuckets, lostSpanUs, suspectSpanUs } from './timing.js';

const mostLost = 512;
const lookSpanUs = 400_000;

/** How often each that hears of a change hands it on, so that it reaches nearly all; the rest is found by comparison. */
const tellingsOf = (view: SpreadView): number => Math.ceil(Math.log2(view.partners.size + 2));

const markOf = (address: string, incarnation: number): number => drawOf(`${address}#${incarnation}`);

const markIn = (view: SpreadView, address: string): number => {
  if (address === view.self.address) return markOf(address, view.incarnation);
  const known = view.partners.get(address);
  return known === undefined ? 0 : markOf(address, known.incarnation);
};

const isRouterIn = (view: SpreadView, address: string): number =>
  view.partners.get(address)?.partner.role === 'router' ? 1 : 0;

const isLostRouterIn = (view: SpreadView, address: string): number =>
  view.lost.get(address)?.partner.role === 'router' ? 1 : 0;

const bucketOf = (address: string): number => drawOf(address) % crowdBuckets;

/** One figure for the members of each bucket, so that two can tell where they differ. */
export const crowdsOf = (view: SpreadView): readonly number[] => {
  const crowds = Array.from({ length: crowdBuckets }, () => 0);
  for (const address of [view.self.address, ...view.partners.keys()]) {
    const bucket = bucketOf(address);
    crowds[bucket] = ((crowds[bucket] ?? 0) ^ markIn(view, address)) >>> 0;
  }
  return crowds;
};

/** All that is known of the buckets in which another's figures differ. */
export const newsBeside = (view: SpreadView, crowds: readonly number[] | undefined): readonly PartnerNews[] => {
  const own = crowds === undefined ? [] : crowdsOf(view);
  return [...view.partners.keys(), ...(crowds === undefined ? [] : view.lost.keys())]
    .filter((address) => crowds === undefined || own[bucketOf(address)] !== crowds[bucketOf(address)])
    .flatMap((address) => newsOf(view, address));
};

const toldRouters = ({ routers, lostRouters }: SpreadView): SpreadEffect => ({
  type: 'routers',
  routers,
  lost: lostRouters,
});

/** Takes a changed entry in, with all that follows from it. */
const regrouped = (former: SpreadView, view: SpreadView, address: string, isNew: boolean): SpreadStep => {
  const routers = view.routers + isRouterIn(view, address) - isRouterIn(former, address);
  const lostRouters = view.lostRouters + isLostRouterIn(view, address) - isLostRouterIn(former, address);
  const counted: SpreadView = {
    ...view,
    crowd: (view.crowd ^ markIn(former, address) ^ markIn(view, address)) >>> 0,
    routers,
    lostRouters,
    changed: view.changed.set(address, tellingsOf(view)),
  };
  return stepped(
    counted,
    ...(isNew ? [{ type: 'partners' as const }] : []),
    ...(routers + lostRouters === former.routers + former.lostRouters ? [] : [toldRouters(counted)]),
  );
};

const isSame = (left: Partner, right: Partner): boolean =>
  left.node === right.node && left.http === right.http && left.role === right.role && left.locality === right.locality;

const isAlive = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const known = view.partners.get(partner.address);
  const lost = view.lost.get(partner.address);
  if (lost !== undefined && incarnation <= lost.incarnation) return stepped(view);
  if (known !== undefined && incarnation <= known.incarnation) return stepped(view);
  const entry: KnownPartner = { partner, incarnation, heardUs: view.atUs, suspectUs: undefined };
  return regrouped(
    view,
    { ...view, partners: view.partners.set(partner.address, entry), lost: view.lost.delete(partner.address) },
    partner.address,
    known === undefined || !isSame(known.partner, partner),
  );
};

const isSuspect = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const known = view.partners.get(partner.address);
  if (known === undefined) return isAlive(view, { partner, incarnation, state: 'alive' });
  if (incarnation < known.incarnation || (incarnation === known.incarnation && known.suspectUs !== undefined))
    return stepped(view);
  const entry: KnownPartner = { ...known, incarnation, suspectUs: view.atUs };
  return regrouped(view, { ...view, partners: view.partners.set(partner.address, entry) }, partner.address, false);
};

const isDead = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const { address } = partner;
  const known = view.partners.get(address);
  if (known === undefined || incarnation < known.incarnation) return stepped(view);
  const lost = view.lost.set(address, { partner, incarnation, lostUs: view.atUs });
  const [eldest] = lost.keys();
  const introduced = new Set(view.introduced);
  introduced.delete(address);
  return regrouped(
    view,
    {
      ...view,
      partners: view.partners.delete(address),
      lost: lost.size > mostLost && eldest !== undefined ? lost.delete(eldest) : lost,
      awaited: view.awaited.delete(address),
      introduced,
    },
    address,
    true,
  );
};

/** What others wrongly say of this process is refuted with a higher incarnation. */
const ofSelf = (view: SpreadView, { state, incarnation }: PartnerNews): SpreadStep => {
  const isRefuted = state === 'alive' ? incarnation > view.incarnation : incarnation >= view.incarnation;
  return isRefuted
    ? regrouped(view, { ...view, incarnation: incarnation + 1 }, view.self.address, false)
    : stepped(view);
};

/** Takes a change of membership, if it is news. */
export const withNews = (view: SpreadView, news: PartnerNews): SpreadStep => {
  if (news.partner.address === view.self.address) return ofSelf(view, news);
  switch (news.state) {
    case 'alive':
      return isAlive(view, news);
    case 'suspect':
      return isSuspect(view, news);
    case 'dead':
      return isDead(view, news);
  }
};

/** Takes what a partner says of itself. */
export const withPartner = (view: SpreadView, partner: Partner, incarnation: number): SpreadStep => {
  const known = view.partners.get(partner.address);
  if (known === undefined || incarnation > known.incarnation || isSame(known.partner, partner))
    return withNews(view, { partner, incarnation, state: 'alive' });
  return regrouped(
    view,
    { ...view, partners: view.partners.set(partner.address, { ...known, partner }) },
    partner.address,
    true,
  );
};

/** What is known of an address, as it is handed on. */
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

/** Whether a partner that speaks of itself has to hear what is said of it. */
export const isDisputed = (view: SpreadView, address: string, incarnation: number): boolean => {
  const known = view.partners.get(address);
  if (known !== undefined)
    return known.incarnation > incarnation || (known.suspectUs !== undefined && known.incarnation >= incarnation);
  const lost = view.lost.get(address);
  return lost !== undefined && lost.incarnation >= incarnation;
};

/** Gives up who did not refute a suspicion in time, and forgets who was given up long ago. */
export const withoutOverdue = (view: SpreadView): SpreadStep => {
  if (view.atUs < view.lookedUs + lookSpanUs) return stepped(view);
  const overdue = [...view.partners.values()].filter(
    ({ suspectUs }) => suspectUs !== undefined && view.atUs > suspectUs + suspectSpanUs,
  );
  const lost = view.lost.filter(({ lostUs }) => view.atUs <= lostUs + lostSpanUs);
  const keptView = {
    ...view,
    lookedUs: view.atUs,
    lost,
    lostRouters: lost.count(({ partner }) => partner.role === 'router'),
  };
  const forgotten = keptView.lostRouters === view.lostRouters ? [] : [toldRouters(keptView)];
  return overdue.reduce<SpreadStep>(
    (step, { partner, incarnation }) => {
      const next = withNews(step.view, { partner, incarnation, state: 'dead' });
      return { view: next.view, effects: [...step.effects, ...next.effects] };
    },
    stepped(keptView, ...forgotten),
  );
};

/** How many routers are thought to live, the own process among them if it is one. */
export const livingRoutersOf = ({ routers }: SpreadView): number => routers;

/** How many may share what the fleet allows: who was given up may live on the other side of a cut. */
export const sharingRoutersOf = ({ routers, lostRouters }: SpreadView): number => routers + lostRouters;
