import { withEntry, withoutEntry } from '../../../common/maps.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';

export const withExchange = (view: DecisionView, exchange: ExchangeView): DecisionView => ({
  ...view,
  exchanges: withEntry(view.exchanges, exchange.exchange, exchange),
});

export const withPressure = (view: DecisionView, server: ServerKey, change: number): DecisionView => {
  const pressure = (view.pressure.get(server) ?? 0) + change;
  return {
    ...view,
    pressure: pressure <= 0 ? withoutEntry(view.pressure, server) : withEntry(view.pressure, server, pressure),
  };
};

/** The exchange leaves its server; its next try, if any, starts from a clean view. */
export const withoutServer = (view: DecisionView, exchange: ExchangeView): DecisionView => {
  const freedView = exchange.server === undefined ? view : withPressure(view, exchange.server, -1);
  return withExchange(freedView, { ...exchange, server: undefined, sent: false });
};

export const withoutExchange = (view: DecisionView, exchange: ExchangeView): DecisionView => {
  const freedView = exchange.server === undefined ? view : withPressure(view, exchange.server, -1);
  return { ...freedView, exchanges: withoutEntry(freedView.exchanges, exchange.exchange) };
};
