import { mayTryAgain } from '../../retry/retry-budget.js';
import { triesAfter, windowUs } from '../../retry/tries.js';
import { routersOf, type DecisionView } from '../view/decision-view.js';

/** Whether this node may make one more extra try to a service now. */
export const hasRetryAllowance = (view: DecisionView, service: string): boolean => {
  const setup = view.record?.setup;
  if (setup === undefined || view.startedUs === undefined) return false;
  const isJustStarted = view.atUs < view.startedUs + windowUs;
  return mayTryAgain(view.tries.get(service) ?? [], view.atUs, {
    fraction: setup.retry.fraction,
    constant: isJustStarted ? 0 : setup.retry.fleetExtra / routersOf(view),
  });
};

/** Counts a try: a first one when it is sent, an extra one when it is decided, or many that fail at once would all pass. */
export const withTry = (view: DecisionView, service: string, isExtra: boolean): DecisionView => ({
  ...view,
  tries: view.tries.set(service, triesAfter(view.tries.get(service) ?? [], view.atUs, isExtra)),
});
