import type { Flight, FlightKey } from '../../flight/flight.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { withExchange } from './exchange-changes.js';

export const withFlight = (view: DecisionView, flightKey: FlightKey, flight: Flight): DecisionView => ({
  ...view,
  flights: view.flights.set(flightKey, flight),
});

/** Removes an exchange from the flight that it follows; it stays in the view. */
export const leaveFlight = (view: DecisionView, exchange: ExchangeView): DecisionView => {
  if (exchange.followsFlight === undefined) return view;
  const flight = view.flights.get(exchange.followsFlight);
  const freedView = withExchange(view, { ...exchange, followsFlight: undefined });
  return flight === undefined
    ? freedView
    : withFlight(freedView, exchange.followsFlight, {
        ...flight,
        followers: flight.followers.filter((follower) => follower !== exchange.exchange),
      });
};

/** Ends the flight that an exchange leads, if any; returns the followers, which are no longer held. */
export const endFlight = (
  view: DecisionView,
  exchange: ExchangeView,
): { readonly view: DecisionView; readonly followers: readonly string[] } => {
  const flight = exchange.leadsFlight === undefined ? undefined : view.flights.get(exchange.leadsFlight);
  if (exchange.leadsFlight === undefined || flight?.leader !== exchange.exchange) return { view, followers: [] };
  const endedView: DecisionView = {
    ...withExchange(view, { ...exchange, leadsFlight: undefined }),
    flights: view.flights.delete(exchange.leadsFlight),
  };
  const freedView = flight.followers.reduce((previousView, id) => {
    const follower = previousView.exchanges.get(id);
    return follower === undefined
      ? previousView
      : withExchange(previousView, { ...follower, followsFlight: undefined });
  }, endedView);
  return { view: freedView, followers: flight.followers };
};
