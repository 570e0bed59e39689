import type { ServerKey } from '../../../servers/list/server-key.js';
import { ringOwners } from '../../ring/ring.js';
import type { ServiceStage } from '../../timeline/service-stage.js';
import type { Stage } from '../../timeline/stage.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';

type RingPressure = DecisionView['ringPressure'];

/** The sums, counted anew for a new stage. */
export const ringPressureAt = (stage: Stage, pressure: DecisionView['pressure']): RingPressure =>
  new Map(
    [...stage.services.values()].map((serviceStage) => [
      serviceStage.service,
      [...ringOwners(serviceStage.ring)].reduce((sum, owner) => sum + (pressure.get(owner) ?? 0), 0),
    ]),
  );

/** The sums after a server's pressure has changed. */
export const ringPressureAfter = (view: DecisionView, server: ServerKey, change: number): RingPressure =>
  new Map(
    [...view.ringPressure].map(([service, sum]) => {
      const ring = view.stage.services.get(service)?.ring;
      return [service, ring !== undefined && ringOwners(ring).has(server) ? sum + change : sum];
    }),
  );

/** How many servers of a ring an exchange can use, and the sum of their pressure. */
export const usableIn = (
  view: DecisionView,
  stage: ServiceStage,
  exchange: ExchangeView,
): { readonly count: number; readonly pressure: number } => {
  const owners = ringOwners(stage.ring);
  const unusableOwners = [...new Set([...view.dark, ...exchange.tried])].filter((server) => owners.has(server));
  return {
    count: owners.size - unusableOwners.length,
    pressure: unusableOwners.reduce(
      (sum, server) => sum - (view.pressure.get(server) ?? 0),
      view.ringPressure.get(stage.service) ?? 0,
    ),
  };
};
