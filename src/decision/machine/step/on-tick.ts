import type { DecisionView } from '../view/decision-view.js';
import { platformUsOf } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { andThen, stepAll, withEffects, withoutEffects, type DecisionStep } from './decision-step.js';
import { endExchange } from './end-exchange.js';
import { leaveFlight } from './flights.js';
import { onFailed } from './on-delivery.js';
import { updateTopology } from './update-topology.js';
import { dispatch } from './dispatch.js';
import { firstPieceDeadlineUsOf, nextDeadlineUsOf } from './deadlines.js';

/** Cancels an attempt without a first piece in time, and handles it as failed. */
const failSlowAttempt = (view: DecisionView, exchange: ExchangeView): DecisionStep =>
  andThen(
    withEffects(view, { type: 'cancel', exchange: exchange.exchange, attempt: exchange.attempt }),
    (cancelledView) =>
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
  if (exchange === undefined) return withoutEffects(view);
  if (view.atUs >= exchange.dueUs) return endExchange(view, exchange, 'budget-passed');
  if (exchange.followsFlight !== undefined && view.atUs >= (exchange.holdUntilUs ?? exchange.dueUs))
    return dispatch(leaveFlight(view, exchange), id);
  return view.atUs >= firstPieceDeadlineUsOf(exchange) ? failSlowAttempt(view, exchange) : withoutEffects(view);
};

/**
 * Handles the passage of time: changes of the topology, holds and budgets that end, and slow servers. Visits the exchanges
 * only when the earliest deadline among them has passed.
 */
export const onTick = (view: DecisionView): DecisionStep => {
  const updated = platformUsOf(view) >= view.topology.nextChangeUs ? updateTopology(view) : withoutEffects(view);
  if (view.atUs < view.wakeUs) return updated;
  const dueExchanges = [...view.exchanges.values()].filter((exchange) => view.atUs >= nextDeadlineUsOf(exchange));
  const ticked = stepAll(
    updated,
    dueExchanges.map((exchange) => exchange.exchange),
    onExchangeTick,
  );
  const wakeUs = ticked.view.exchanges.reduce(
    (earliest, exchange) => Math.min(earliest, nextDeadlineUsOf(exchange)),
    Number.POSITIVE_INFINITY,
  );
  return { view: { ...ticked.view, wakeUs }, effects: ticked.effects };
};
