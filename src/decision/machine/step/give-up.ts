import type { Micros } from '../../../common/micros.js';
import type { ErrorType } from '../../../common/error-type.js';
import type { Decision } from '../effect/decision.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { stepped, type DecisionStep } from './decision-step.js';
import { withoutExchange } from './exchange-changes.js';
import { unfollowed } from './flights.js';

export const retryAfterUs: Micros = 1_000_000;

/**
 * The last answer of an exchange. It is a refusal only when nothing was ever sent for it; a stream that
 * has begun is broken off so that it never looks complete; anything else has an unknown outcome.
 */
export const lastDecisionOf = (exchange: ExchangeView, error: ErrorType): Decision => {
  const name = exchange.exchange;
  if (exchange.started) return { type: 'breakOff', exchange: name, error };
  if (exchange.sent || exchange.mayHaveRun)
    return { type: 'unknown', exchange: name, error: error === 'no-server' ? 'outcome-unknown' : error };
  return { type: 'refuse', exchange: name, error, retryAfterUs };
};

export const giveUp = (view: DecisionView, exchange: ExchangeView, error: ErrorType): DecisionStep => {
  const freedView = unfollowed(view, exchange);
  const freedExchange = freedView.exchanges.get(exchange.exchange) ?? exchange;
  return stepped(withoutExchange(freedView, freedExchange), lastDecisionOf(freedExchange, error));
};
