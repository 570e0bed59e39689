import { canonicalText } from '../../../setup/document/canonical-text.js';
import type { SetupRecord } from '../../../setup/document/setup-record.js';
import type { DecisionView } from '../view/decision-view.js';
import { still, type DecisionStep } from './decision-step.js';
import { restage } from './restage.js';

const areEqual = (left: object, right: object): boolean =>
  left === right || canonicalText(left) === canonicalText(right);

/** Whether two configurations say the same of everything that the stage is derived from. */
const hasSameStageInputs = (former: SetupRecord, next: SetupRecord): boolean =>
  areEqual(former.setup.services, next.setup.services) &&
  areEqual(former.epochs, next.epochs) &&
  areEqual(former.setup.warmup, next.setup.warmup) &&
  areEqual(former.setup.leaving, next.setup.leaving);

/**
 * Takes a newer configuration. One that changes only routes, tiers or limits leaves the stage as it is, rings and
 * bookings included, and costs no more than the comparison.
 */
export const onSetup = (view: DecisionView, record: SetupRecord): DecisionStep => {
  const former = view.record;
  if (former !== undefined && record.revision <= former.revision) return still(view);
  const nextView = { ...view, record };
  return former !== undefined && hasSameStageInputs(former, record) ? still(nextView) : restage(nextView);
};
