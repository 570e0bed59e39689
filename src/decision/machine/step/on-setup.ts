import { canonicalJson } from '../../../setup/document/canonical-json.js';
import type { SetupRecord } from '../../../setup/document/setup-record.js';
import type { DecisionView } from '../view/decision-view.js';
import { withoutEffects, type DecisionStep } from './decision-step.js';
import { updateTopology } from './update-topology.js';

const areEqual = (left: object, right: object): boolean =>
  left === right || canonicalJson(left) === canonicalJson(right);

/** Whether two configurations are equal in everything that the topology is derived from. */
const hasSameTopologyInputs = (previous: SetupRecord, next: SetupRecord): boolean =>
  areEqual(previous.setup.services, next.setup.services) &&
  areEqual(previous.epochs, next.epochs) &&
  areEqual(previous.setup.warmup, next.setup.warmup) &&
  areEqual(previous.setup.leaving, next.setup.leaving);

/**
 * Takes a newer configuration; an older or equal revision is ignored. One that changes only routes, tiers or limits
 * leaves the topology as it is, rings and bookings included, and costs no more than the comparison.
 */
export const onSetup = (view: DecisionView, record: SetupRecord): DecisionStep => {
  const previous = view.record;
  if (previous !== undefined && record.revision <= previous.revision) return withoutEffects(view);
  const nextView = { ...view, record };
  return previous !== undefined && hasSameTopologyInputs(previous, record)
    ? withoutEffects(nextView)
    : updateTopology(nextView);
};
