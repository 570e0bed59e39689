import { canRetry } from '../../retry/retry-budget.js';
import { withAttempt, windowUs } from '../../retry/attempt-window.js';
import { routersOf, type DecisionView } from '../view/decision-view.js';

/** Whether the retry budget allows this node one more retry to a service now. */
export const hasRetryBudget = (view: DecisionView, service: string): boolean => {
  const setup = view.record?.setup;
  if (setup === undefined || view.startedUs === undefined) return false;
  const isJustStarted = view.atUs < view.startedUs + windowUs;
  return canRetry(view.tries.get(service) ?? [], view.atUs, {
    fraction: setup.retry.fraction,
    constant: isJustStarted ? 0 : setup.retry.fleetExtra / routersOf(view),
  });
};

/**
 * Counts an attempt: a first attempt when it is sent, a retry already when it is decided; otherwise many attempts that
 * fail at the same time would all pass the budget.
 */
export const countAttempt = (view: DecisionView, service: string, isRetry: boolean): DecisionView => ({
  ...view,
  tries: view.tries.set(service, withAttempt(view.tries.get(service) ?? [], view.atUs, isRetry)),
});
