import { serverKeyOf } from '../../../servers/list/server-key.js';
import { ringOwners } from '../../ring/ring.js';
import { topologyAt } from '../../topology/topology.js';
import type { Migration } from '../../topology/migration.js';
import type { Decision } from '../effect/decision.js';
import { platformUsOf, type DecisionView } from '../view/decision-view.js';
import { withoutEffects, type DecisionStep } from './decision-step.js';
import { sumRingPressure } from './ring-pressure.js';

const bookedDecision = (service: string, migration: Migration): readonly Decision[] =>
  migration.key === undefined
    ? []
    : [
        {
          type: 'booked',
          server: migration.key,
          service,
          sinceUs: migration.fromUs,
          entryUs: migration.commitUs,
          ranges: migration.ranges.length,
        },
      ];

/**
 * Derives the topology again from configuration, server list and platform time. Decides which joins were booked, have
 * entered the ring or were withdrawn since, and drops state of servers that are no longer listed.
 */
export const updateTopology = (view: DecisionView): DecisionStep => {
  if (view.record === undefined || view.list === undefined) return withoutEffects(view);
  const nextTopology = topologyAt(view.record, view.list, platformUsOf(view));
  const pendingJoins = [...nextTopology.services.values()].flatMap((serviceTopology) =>
    serviceTopology.pending
      .filter((migration) => migration.type === 'join')
      .map((migration) => ({ service: serviceTopology.service, migration })),
  );
  const joining = new Map(
    pendingJoins.flatMap(({ service, migration }) =>
      migration.key === undefined ? [] : [[migration.key, { service, entryUs: migration.commitUs }] as const],
    ),
  );
  const bookedDecisions = pendingJoins
    .filter(
      ({ migration }) => migration.key !== undefined && view.joining.get(migration.key)?.entryUs !== migration.commitUs,
    )
    .flatMap(({ service, migration }) => bookedDecision(service, migration));
  const endedDecisions = [...view.joining]
    .filter(([key]) => !joining.has(key))
    .map(([key, { service, entryUs }]): Decision => {
      const ring = nextTopology.services.get(service)?.ring;
      const isInRing = ring !== undefined && ringOwners(ring).has(key);
      return isInRing
        ? { type: 'entered', server: key, service, entryUs }
        : { type: 'withdrawn', server: key, service };
    });
  const listedKeys = new Set(view.list.servers.map(serverKeyOf));
  return {
    view: {
      ...view,
      topology: nextTopology,
      joining,
      ringPressure: sumRingPressure(nextTopology, view.pressure),
      prefillEndTimes: view.prefillEndTimes.filter((endUs) => endUs > view.atUs),
      cachedPrefixes: view.cachedPrefixes.filter((_, key) => listedKeys.has(key)),
      dark: new Set([...view.dark].filter((key) => listedKeys.has(key))),
    },
    effects: [...endedDecisions, ...bookedDecisions],
  };
};
