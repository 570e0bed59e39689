import type { ErrorType } from '../../../common/error-type.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { andThen, stepAll, withEffects, withoutEffects, type DecisionStep } from './decision-step.js';
import { dispatch } from './dispatch.js';
import { endFlight } from './flights.js';
import { giveUp } from './give-up.js';

/** Ends an exchange with its final decision. Its running attempt is cancelled, and the followers of its flight are dispatched. */
export const endExchange = (view: DecisionView, exchange: ExchangeView, error: ErrorType): DecisionStep => {
  const ended = endFlight(view, exchange);
  const endedExchange = ended.view.exchanges.get(exchange.exchange) ?? exchange;
  const cancelled =
    exchange.server === undefined
      ? withoutEffects(ended.view)
      : withEffects(ended.view, { type: 'cancel', exchange: exchange.exchange, attempt: exchange.attempt });
  const givenUp = andThen(cancelled, (cancelledView) => giveUp(cancelledView, endedExchange, error));
  return stepAll(givenUp, ended.followers, dispatch);
};
