import type { DecisionView } from '../machine/view/decision-view.js';
import type { ExchangeView } from '../machine/view/exchange-view.js';
import { prefillUsOf } from './prefill-estimate.js';

const defaultUrgency = 5;

/**
 * The urgency of an exchange in the queue of its server, from 0, the most urgent, to 9. Short prefills go before long ones.
 * Undefined without an estimate of the work, or if the policy switches urgency off.
 */
export const urgencyOf = (view: DecisionView, exchange: ExchangeView, tokens: number): number | undefined => {
  if (exchange.work === undefined || !view.policy.urgency) return undefined;
  const prefillUs = prefillUsOf(view, exchange.rule.service, tokens);
  if (prefillUs < 60_000) return defaultUrgency - 3;
  return prefillUs < 300_000 ? defaultUrgency - 1 : defaultUrgency;
};
