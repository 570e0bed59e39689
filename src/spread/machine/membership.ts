import { withEntry, withoutEntry } from '../../common/maps.js';
import type { KnownPartner } from '../partner/known-partner.js';
import type { PartnerNews } from '../partner/partner-news.js';
import type { Partner } from '../partner/partner.js';
import { drawOf } from './draw.js';
import { stepped, type SpreadStep } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { lostSpanUs, suspectSpanUs } from './timing.js';

const mostLost = 512;

/** How often a change is handed on, so that it reaches all with a chance that does not fall with their number. */
const tellingsOf = (view: SpreadView): number => 3 * Math.ceil(Math.log2(view.partners.size + 2));

const markOf = (address: string, incarnation: number): number => drawOf(`${address}#${incarnation}`);

/** One figure for the own entry and all that are thought to live. */
const crowdOf = (view: SpreadView): number => {
  let crowd = markOf(view.self.address, view.incarnation);
  for (const [address, { incarnation }] of view.partners) crowd ^= markOf(address, incarnation);
  return crowd >>> 0;
};

const routersOf = (view: SpreadView): number => {
  let routers = view.self.role === 'router' ? 1 : 0;
  for (const { partner } of view.partners.values()) if (partner.role === 'router') routers += 1;
  return routers;
};

const handedOn = (view: SpreadView, address: string): SpreadView => ({ ...view, changed: withEntry(view.changed, address, tellingsOf(view)) });

/** Takes changed partners in, with all that follows from them. */
const regrouped = (view: SpreadView, address: string, isNew: boolean): SpreadStep => {
  const told = handedOn(view, address);
  const counted: SpreadView = { ...told, crowd: crowdOf(told), routers: routersOf(told) };
  return stepped(
    counted,
    ...(isNew ? [{ type: 'partners' as const, partners: [...counted.partners.values()].map(({ partner }) => partner) }] : []),
    ...(counted.routers === view.routers ? [] : [{ type: 'routers' as const, routers: counted.routers }]),
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
    { ...view, partners: withEntry(view.partners, partner.address, entry), lost: withoutEntry(view.lost, partner.address) },
    partner.address,
    known === undefined || !isSame(known.partner, partner),
  );
};

const isSuspect = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const known = view.partners.get(partner.address);
  if (known === undefined) return isAlive(view, { partner, incarnation, state: 'alive' });
  if (incarnation < known.incarnation || (incarnation === known.incarnation && known.suspectUs !== undefined)) return stepped(view);
  const entry: KnownPartner = { ...known, incarnation, suspectUs: view.atUs };
  return regrouped({ ...view, partners: withEntry(view.partners, partner.address, entry) }, partner.address, false);
};

const isDead = (view: SpreadView, { partner, incarnation }: PartnerNews): SpreadStep => {
  const { address } = partner;
  const known = view.partners.get(address);
  if (known === undefined || incarnation < known.incarnation) return stepped(view);
  const lost = withEntry(view.lost, address, { partner, incarnation, lostUs: view.atUs });
  const [eldest] = lost.keys();
  const introduced = new Set(view.introduced);
  introduced.delete(address);
  return regrouped(
    {
      ...view,
      partners: withoutEntry(view.partners, address),
      lost: lost.size > mostLost && eldest !== undefined ? withoutEntry(lost, eldest) : lost,
      awaited: withoutEntry(view.awaited, address),
      introduced,
    },
    address,
    true,
  );
};

/** What others wrongly say of this process is refuted with a higher incarnation. */
const ofSelf = (view: SpreadView, { state, incarnation }: PartnerNews): SpreadStep => {
  const isRefuted = state === 'alive' ? incarnation > view.incarnation : incarnation >= view.incarnation;
  return isRefuted ? regrouped({ ...view, incarnation: incarnation + 1 }, view.self.address, false) : stepped(view);
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
  if (known === undefined || incarnation > known.incarnation || isSame(known.partner, partner)) return withNews(view, { partner, incarnation, state: 'alive' });
  return regrouped({ ...view, partners: withEntry(view.partners, partner.address, { ...known, partner }) }, partner.address, true);
};

/** What is known of an address, as it is handed on. */
export const newsOf = (view: SpreadView, address: string): readonly PartnerNews[] => {
  if (address === view.self.address) return [{ partner: view.self, incarnation: view.incarnation, state: 'alive' }];
  const known = view.partners.get(address);
  if (known !== undefined) return [{ partner: known.partner, incarnation: known.incarnation, state: known.suspectUs === undefined ? 'alive' : 'suspect' }];
  const lost = view.lost.get(address);
  return lost === undefined ? [] : [{ partner: lost.partner, incarnation: lost.incarnation, state: 'dead' }];
};

/** Whether a partner that speaks of itself has to hear what is said of it. */
export const isDisputed = (view: SpreadView, address: string, incarnation: number): boolean => {
  const known = view.partners.get(address);
  if (known !== undefined) return known.incarnation > incarnation || (known.suspectUs !== undefined && known.incarnation >= incarnation);
  const lost = view.lost.get(address);
  return lost !== undefined && lost.incarnation >= incarnation;
};

/** Gives up who did not refute a suspicion in time, and forgets who was given up long ago. */
export const withoutOverdue = (view: SpreadView): SpreadStep => {
  const overdue = [...view.partners.values()].filter(({ suspectUs }) => suspectUs !== undefined && view.atUs > suspectUs + suspectSpanUs);
  const isForgotten = [...view.lost.values()].some(({ lostUs }) => view.atUs > lostUs + lostSpanUs);
  const keptView = isForgotten ? { ...view, lost: new Map([...view.lost].filter(([, { lostUs }]) => view.atUs <= lostUs + lostSpanUs)) } : view;
  return overdue.reduce<SpreadStep>((step, { partner, incarnation }) => {
    const next = withNews(step.view, { partner, incarnation, state: 'dead' });
    return { view: next.view, effects: [...step.effects, ...next.effects] };
  }, stepped(keptView));
};
