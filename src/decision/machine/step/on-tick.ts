import type { DecisionView } from '../view/decision-view.js';
import { platformUsOf } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { andThen, overAll, stepped, still, type DecisionStep } from './decision-step.js';
import { landed, unfollowed } from './flights.js';
import { giveUp } from './give-up.js';
import { onFailed } from './on-delivery.js';
import { restage } from './restage.js';
import { direct } from './direct.js';
import { tooSlowUsOf, wakeUsOf } from './wake.js';

/** Ends an exchange whose time budget has passed. */
const expire = (view: DecisionView, exchange: ExchangeView): DecisionStep => {
  const ended = landed(view, exchange);
  const expiredExchange = ended.view.exchanges.get(exchange.exchange) ?? exchange;
  const cancelStep =
    exchange.server === undefined
      ? still(ended.view)
      : stepped(ended.view, { type: 'cancel', exchange: exchange.exchange, attempt: exchange.attempt });
  return overAll(
    andThen(cancelStep, (cancelledView) => giveUp(cancelledView, expiredExchange, 'budget-passed')),
    ended.followers,
    direct,
  );
};

/** Cancels an attempt without a first piece in time, and handles it as failed. */
const failSlowAttempt = (view: DecisionView, exchange: ExchangeView): DecisionStep =>
  andThen(stepped(view, { type: 'cancel', exchange: exchange.exchange, attempt: exchange.attempt }), (cancelledView) =>
    onFailed(cancelledView, {
      type: 'failed',
      at: view.atUs,
      exchange: exchange.exchange,
      attempt: exchange.attempt,
      sent: exchange.sent,
      pieces: 0,
      error: 'too-slow',
    }),
  );

const onExchangeTick = (view: DecisionView, id: string): DecisionStep => {
  const exchange = view.exchanges.get(id);
  if (exchange === undefined) return still(view);
  if (view.atUs >= exchange.dueUs) return expire(view, exchange);
  if (exchange.follows !== undefined && view.atUs >= (exchange.holdUntilUs ?? exchange.dueUs))
    return direct(unfollowed(view, exchange), id);
  return view.atUs >= tooSlowUsOf(exchange) ? failSlowAttempt(view, exchange) : still(view);
};

/**
 * Handles the passage of time: changes of the topology, holds and budgets that end, and slow servers. Visits the exchanges
 * only when the earliest deadline among them has passed.
 */
export const onTick = (view: DecisionView): DecisionStep => {
  const updated = platformUsOf(view) >= view.stage.nextChangeUs ? restage(view) : still(view);
  if (view.atUs < view.wakeUs) return updated;
  const dueExchanges = [...view.exchanges.values()].filter((exchange) => view.atUs >= wakeUsOf(exchange));
  const ticked = overAll(
    updated,
    dueExchanges.map((exchange) => exchange.exchange),
    onExchangeTick,
  );
  const wakeUs = ticked.view.exchanges.reduce(
    (earliest, exchange) => Math.min(earliest, wakeUsOf(exchange)),
    Number.POSITIVE_INFINITY,
  );
  return { view: { ...ticked.view, wakeUs }, effects: ticked.effects };
};
