import type { DecisionView } from '../view/decision-view.js';
import { stepAll, withoutEffects, type DecisionStep } from './decision-step.js';
import { endExchange } from './end-exchange.js';

/**
 * Gives every exchange whose response has not started its final decision: a refusal if it was not sent to a server, else an answer
 * that leaves the outcome open. Started responses go on, but no further attempt begins.
 */
export const onShutdown = (view: DecisionView): DecisionStep => {
  const unanswered = [...view.exchanges.values()].filter(({ started }) => !started);
  return stepAll(
    withoutEffects({ ...view, draining: true, startsNoAttempts: true }),
    unanswered.map(({ exchange }) => exchange),
    (nextView, id) => {
      const exchange = nextView.exchanges.get(id);
      return exchange === undefined ? withoutEffects(nextView) : endExchange(nextView, exchange, 'draining');
    },
  );
};
