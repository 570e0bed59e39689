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

const pastBudget = (view: DecisionView, exchange: ExchangeView): DecisionStep => {
  const landing = landed(view, exchange);
  const landedExchange = landing.view.exchanges.get(exchange.exchange) ?? exchange;
  const cancelStep =
    exchange.server === undefined
      ? still(landing.view)
      : stepped(landing.view, { type: 'cancel', exchange: exchange.exchange, attempt: exchange.attempt });
  return overAll(
    andThen(cancelStep, (cancelledView) => giveUp(cancelledView, landedExchange, 'budget-passed')),
    landing.followers,
    direct,
  );
};

const movedOn = (view: DecisionView, exchange: ExchangeView): DecisionStep =>
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

const onExchangeTick = (view: DecisionView, exchangeName: string): DecisionStep => {
  const exchange = view.exchanges.get(exchangeName);
  if (exchange === undefined) return still(view);
  if (view.atUs >= exchange.dueUs) return pastBudget(view, exchange);
  if (exchange.follows !== undefined && view.atUs >= (exchange.holdUntilUs ?? exchange.dueUs))
    return direct(unfollowed(view, exchange), exchangeName);
  return view.atUs >= tooSlowUsOf(exchange) ? movedOn(view, exchange) : still(view);
};

/** Lets time pass: stages, waits, budgets and slow servers. Looks through the exchanges only once one may have something to do. */
export const onTick = (view: DecisionView): DecisionStep => {
  const staged = platformUsOf(view) >= view.stage.nextChangeUs ? restage(view) : still(view);
  if (view.atUs < view.wakeUs) return staged;
  const wokenExchanges = [...view.exchanges.values()].filter((exchange) => view.atUs >= wakeUsOf(exchange));
  const woken = overAll(
    staged,
    wokenExchanges.map((exchange) => exchange.exchange),
    onExchangeTick,
  );
  const wakeUs = woken.view.exchanges.reduce(
    (least, exchange) => Math.min(least, wakeUsOf(exchange)),
    Number.POSITIVE_INFINITY,
  );
  return { view: { ...woken.view, wakeUs }, effects: woken.effects };
};
