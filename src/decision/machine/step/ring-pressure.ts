import type { ServerKey } from '../../../servers/list/server-key.js';
import { ringOwners } from '../../ring/ring.js';
import type { ServiceTopology } from '../../topology/service-topology.js';
import type { Topology } from '../../topology/topology.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';

type RingPressure = DecisionView['ringPressure'];

/** The pressure on each service's ring, summed over all its servers. */
export const sumRingPressure = (topology: Topology, pressure: DecisionView['pressure']): RingPressure =>
  new Map(
    [...topology.services.values()].map((serviceTopology) => [
      serviceTopology.service,
      [...ringOwners(serviceTopology.ring)].reduce((sum, owner) => sum + (pressure.get(owner) ?? 0), 0),
    ]),
  );

/** The sums after the pressure on one server has changed by `change`. */
export const adjustRingPressure = (view: DecisionView, server: ServerKey, change: number): RingPressure =>
  new Map(
    [...view.ringPressure].map(([service, sum]) => {
      const ring = view.topology.services.get(service)?.ring;
      return [service, ring !== undefined && ringOwners(ring).has(server) ? sum + change : sum];
    }),
  );

/** The number of servers in the ring that are reachable and untried by the exchange, and the sum of their pressure. */
export const usableOwnersOf = (
  view: DecisionView,
  topology: ServiceTopology,
  exchange: ExchangeView,
): { readonly count: number; readonly pressure: number } => {
  const owners = ringOwners(topology.ring);
  const unusableOwners = [...new Set([...view.dark, ...exchange.triedServers])].filter((server) => owners.has(server));
  return {
    count: owners.size - unusableOwners.length,
    pressure: unusableOwners.reduce(
      (sum, server) => sum - (view.pressure.get(server) ?? 0),
      view.ringPressure.get(topology.service) ?? 0,
    ),
  };
};
