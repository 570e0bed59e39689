import { hashOf, randomSample } from './random.js';
import type { GossipView } from './gossip-view.js';
import { maxSmallFleetAddresses, lostPeerContactUs } from './timing.js';

/** The addresses that all digests go to in a small fleet: seeds, peers and recently lost peers. */
export const broadcastAddresses = (view: GossipView): readonly string[] => {
  const recentlyLost = [...view.lost].flatMap(([address, { lostUs }]) =>
    lostUs > view.atUs - lostPeerContactUs ? [address] : [],
  );
  return [...new Set([...view.seeds, ...view.partners.keys(), ...recentlyLost])].filter(
    (address) => address !== view.self.address,
  );
};

/** Whether the fleet is small enough that digests go to all addresses. */
export const isSmallFleet = (view: GossipView): boolean =>
  view.partners.size <= maxSmallFleetAddresses && broadcastAddresses(view).length <= maxSmallFleetAddresses;

/** Random peers that are not suspect, two thirds of them in the own locality: traffic between localities is costly. */
export const samplePeers = (
  view: GossipView,
  count: number,
  except?: string,
): { readonly targets: readonly string[]; readonly view: GossipView } => {
  const local: string[] = [];
  const remote: string[] = [];
  for (const [address, { partner, suspectUs }] of view.partners)
    if (address !== except && suspectUs === undefined)
      (partner.locality === view.self.locality ? local : remote).push(address);
  const remoteCount = Math.max(Math.ceil(count / 3), count - local.length);
  const localSample = randomSample(view.randomState, local, count - Math.min(remoteCount, remote.length));
  const remoteSample = randomSample(localSample.state, remote, remoteCount);
  return {
    targets: [...localSample.sample, ...remoteSample.sample],
    view: { ...view, randomState: remoteSample.state },
  };
};

/** The targets of a push: all addresses in a small fleet, otherwise random peers. */
export const pushTargets = (
  view: GossipView,
  count: number,
  except?: string,
): { readonly targets: readonly string[]; readonly view: GossipView } =>
  isSmallFleet(view)
    ? { targets: broadcastAddresses(view).filter((address) => address !== except), view }
    : samplePeers(view, count, except);

/**
 * The additional targets of a push by a control node in a large fleet: the other control nodes, and its own share of the
 * routers, which are partitioned by hash among the control nodes that it knows. A change thus reaches each router in one
 * hop from a node with spare processor time, and its cost per router does not grow with the fleet. Gossip runs as well.
 */
export const controlNodeTargets = (view: GossipView): readonly string[] => {
  if (view.self.role !== 'control' || isSmallFleet(view)) return [];
  const partners = [...view.partners.values()].map(({ partner }) => partner);
  const controlAddresses = partners.flatMap(({ role, address }) => (role === 'control' ? [address] : []));
  const controlNodes = [view.self.address, ...controlAddresses].sort();
  const ownIndex = controlNodes.indexOf(view.self.address);
  const ownRouters = partners.flatMap(({ role, address }) =>
    role === 'router' && hashOf(address) % controlNodes.length === ownIndex ? [address] : [],
  );
  return [...controlAddresses, ...ownRouters];
};
