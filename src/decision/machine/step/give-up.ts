import type { Micros } from '../../../common/micros.js';
import type { ErrorType } from '../../../common/error-type.js';
import type { Decision } from '../effect/decision.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { withEffects, type DecisionStep } from './decision-step.js';
import { withoutExchange } from './exchange-changes.js';
import { leaveFlight } from './flights.js';

/** Sent with a refusal: when the client may try again. */
export const retryAfterUs: Micros = 1_000_000;

/**
 * The final decision for an exchange that fails. It is a refusal only if no attempt can have run; a stream that has
 * started is broken off so that it never looks complete; in all other cases the outcome is unknown.
 */
export const finalDecisionOf = (exchange: ExchangeView, error: ErrorType): Decision => {
  const id = exchange.exchange;
  if (exchange.started) return { type: 'breakOff', exchange: id, error };
  if (exchange.sent || exchange.mayHaveRun)
    return { type: 'unknown', exchange: id, error: error === 'no-server' ? 'outcome-unknown' : error };
  return { type: 'refuse', exchange: id, error, retryAfterUs };
};

/** Removes an exchange and ends it with its final decision. */
export const giveUp = (view: DecisionView, exchange: ExchangeView, error: ErrorType): DecisionStep => {
  const freedView = leaveFlight(view, exchange);
  const freedExchange = freedView.exchanges.get(exchange.exchange) ?? exchange;
  return withEffects(withoutExchange(freedView, freedExchange), finalDecisionOf(freedExchange, error));
};
