import { drawOf, someOf } from './draw.js';
import type { SpreadView } from './spread-view.js';
import { fewAddresses, forgottenSpanUs } from './timing.js';

/** Whom a fleet of few tells everything: also seeds, and who was given up a short while ago. */
export const addressesOf = (view: SpreadView): readonly string[] => {
  const justLost = [...view.lost].flatMap(([address, { lostUs }]) =>
    lostUs > view.atUs - forgottenSpanUs ? [address] : [],
  );
  return [...new Set([...view.seeds, ...view.partners.keys(), ...justLost])].filter(
    (address) => address !== view.self.address,
  );
};

/** Whether digests go to all. */
export const hasFew = (view: SpreadView): boolean =>
  view.partners.size <= fewAddresses && addressesOf(view).length <= fewAddresses;

/** Some partners by chance, two thirds of them in the own locality, as bytes between localities cost. */
export const somePartners = (
  view: SpreadView,
  count: number,
  except?: string,
): { readonly targets: readonly string[]; readonly view: SpreadView } => {
  const near: string[] = [];
  const far: string[] = [];
  for (const [address, { partner, suspectUs }] of view.partners)
    if (address !== except && suspectUs === undefined)
      (partner.locality === view.self.locality ? near : far).push(address);
  const farCount = Math.max(Math.ceil(count / 3), count - near.length);
  const nearDrawn = someOf(view.draw, near, count - Math.min(farCount, far.length));
  const farDrawn = someOf(nearDrawn.draw, far, farCount);
  return { targets: [...nearDrawn.some, ...farDrawn.some], view: { ...view, draw: farDrawn.draw } };
};

/** Who is told news at once: all of few, or some. */
export const newsTargets = (
  view: SpreadView,
  count: number,
  except?: string,
): { readonly targets: readonly string[]; readonly view: SpreadView } =>
  hasFew(view)
    ? { targets: addressesOf(view).filter((address) => address !== except), view }
    : somePartners(view, count, except);

/**
 * Whom a core machine of a larger fleet tells news itself: the other core machines, and its own part of the routers,
 * which it shares with the core machines that it knows. Whatever gossip does beside it, a change thus reaches each
 * router in one step from a machine that has processor time to spare, and the cost of it for a router stays the same
 * however many there are.
 */
export const coreTargets = (view: SpreadView): readonly string[] => {
  if (view.self.role !== 'control' || hasFew(view)) return [];
  const partners = [...view.partners.values()].map(({ partner }) => partner);
  const coreAddresses = partners.flatMap(({ role, address }) => (role === 'control' ? [address] : []));
  const sharers = [view.self.address, ...coreAddresses].sort();
  const ownPlace = sharers.indexOf(view.self.address);
  const ownRouters = partners.flatMap(({ role, address }) =>
    role === 'router' && drawOf(address) % sharers.length === ownPlace ? [address] : [],
  );
  return [...coreAddresses, ...ownRouters];
};
