import { drawOf, someOf } from './draw.js';
import type { SpreadView } from './spread-view.js';
import { fewAddresses, forgottenSpanUs } from './timing.js';

/** The addresses that all digests go to in a small fleet: seeds, peers and recently lost peers. */
export const addressesOf = (view: SpreadView): readonly string[] => {
  const recentlyLost = [...view.lost].flatMap(([address, { lostUs }]) =>
    lostUs > view.atUs - forgottenSpanUs ? [address] : [],
  );
  return [...new Set([...view.seeds, ...view.partners.keys(), ...recentlyLost])].filter(
    (address) => address !== view.self.address,
  );
};

/** Whether the fleet is small enough that digests go to all addresses. */
export const hasFew = (view: SpreadView): boolean =>
  view.partners.size <= fewAddresses && addressesOf(view).length <= fewAddresses;

/** Random peers that are not suspect, two thirds of them in the own locality: traffic between localities is costly. */
export const somePartners = (
  view: SpreadView,
  count: number,
  except?: string,
): { readonly targets: readonly string[]; readonly view: SpreadView } => {
  const local: string[] = [];
  const remote: string[] = [];
  for (const [address, { partner, suspectUs }] of view.partners)
    if (address !== except && suspectUs === undefined)
      (partner.locality === view.self.locality ? local : remote).push(address);
  const remoteCount = Math.max(Math.ceil(count / 3), count - local.length);
  const localSample = someOf(view.randomState, local, count - Math.min(remoteCount, remote.length));
  const remoteSample = someOf(localSample.state, remote, remoteCount);
  return {
    targets: [...localSample.sample, ...remoteSample.sample],
    view: { ...view, randomState: remoteSample.state },
  };
};

/** The targets of a push: all addresses in a small fleet, otherwise random peers. */
export const newsTargets = (
  view: SpreadView,
  count: number,
  except?: string,
): { readonly targets: readonly string[]; readonly view: SpreadView } =>
  hasFew(view)
    ? { targets: addressesOf(view).filter((address) => address !== except), view }
    : somePartners(view, count, except);

/**
 * The additional targets of a push by a control node in a large fleet: the other control nodes, and its own share of the
 * routers, which are partitioned by hash among the control nodes that it knows. A change thus reaches each router in one
 * hop from a node with spare processor time, and its cost per router does not grow with the fleet. Gossip runs as well.
 */
export const coreTargets = (view: SpreadView): readonly string[] => {
  if (view.self.role !== 'control' || hasFew(view)) return [];
  const partners = [...view.partners.values()].map(({ partner }) => partner);
  const controlAddresses = partners.flatMap(({ role, address }) => (role === 'control' ? [address] : []));
  const controlNodes = [view.self.address, ...controlAddresses].sort();
  const ownIndex = controlNodes.indexOf(view.self.address);
  const ownRouters = partners.flatMap(({ role, address }) =>
    role === 'router' && drawOf(address) % controlNodes.length === ownIndex ? [address] : [],
  );
  return [...controlAddresses, ...ownRouters];
};
