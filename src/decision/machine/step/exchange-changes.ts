import type { ServerKey } from '../../../servers/list/server-key.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { adjustRingPressure } from './ring-pressure.js';
import { nextDeadlineUsOf } from './deadlines.js';

/** Adds or replaces an exchange; its deadline counts towards `wakeUs`. */
export const withExchange = (view: DecisionView, exchange: ExchangeView): DecisionView => ({
  ...view,
  exchanges: view.exchanges.set(exchange.exchange, exchange),
  wakeUs: Math.min(view.wakeUs, nextDeadlineUsOf(exchange)),
});

/** Changes the number of exchanges in progress at a server, and the sums per ring that contain it. */
export const addPressure = (view: DecisionView, server: ServerKey, change: number): DecisionView => {
  const previousPressure = view.pressure.get(server) ?? 0;
  const pressure = Math.max(0, previousPressure + change);
  return {
    ...view,
    pressure: pressure === 0 ? view.pressure.delete(server) : view.pressure.set(server, pressure),
    ringPressure: adjustRingPressure(view, server, pressure - previousPressure),
  };
};

/** Ends the running attempt of an exchange, which stays in the view without a server. */
export const withoutServer = (view: DecisionView, exchange: ExchangeView): DecisionView => {
  const freedView = exchange.server === undefined ? view : addPressure(view, exchange.server, -1);
  return withExchange(freedView, { ...exchange, server: undefined, sent: false });
};

/** Removes an exchange that has ended, and its running attempt if it has one. */
export const withoutExchange = (view: DecisionView, exchange: ExchangeView): DecisionView => {
  const freedView = exchange.server === undefined ? view : addPressure(view, exchange.server, -1);
  return { ...freedView, exchanges: freedView.exchanges.delete(exchange.exchange) };
};
