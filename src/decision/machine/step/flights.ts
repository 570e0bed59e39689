import type { Flight, FlightKey } from '../../flight/flight.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { withExchange } from './exchange-changes.js';

export const withFlight = (view: DecisionView, flightKey: FlightKey, flight: Flight): DecisionView => ({
  ...view,
  flights: view.flights.set(flightKey, flight),
});

/** Removes an exchange from the flight that it follows; it stays in the view. */
export const unfollowed = (view: DecisionView, exchange: ExchangeView): DecisionView => {
  if (exchange.follows === undefined) return view;
  const flight = view.flights.get(exchange.follows);
  const freedView = withExchange(view, { ...exchange, follows: undefined });
  return flight === undefined
    ? freedView
    : withFlight(freedView, exchange.follows, {
        ...flight,
        followers: flight.followers.filter((follower) => follower !== exchange.exchange),
      });
};

/** Ends the flight that an exchange leads, if any; returns the followers, which are no longer held. */
export const landed = (
  view: DecisionView,
  exchange: ExchangeView,
): { readonly view: DecisionView; readonly followers: readonly string[] } => {
  const flight = exchange.leads === undefined ? undefined : view.flights.get(exchange.leads);
  if (exchange.leads === undefined || flight?.leader !== exchange.exchange) return { view, followers: [] };
  const endedView: DecisionView = {
    ...withExchange(view, { ...exchange, leads: undefined }),
    flights: view.flights.delete(exchange.leads),
  };
  const freedView = flight.followers.reduce((previousView, id) => {
    const follower = previousView.exchanges.get(id);
    return follower === undefined ? previousView : withExchange(previousView, { ...follower, follows: undefined });
  }, endedView);
  return { view: freedView, followers: flight.followers };
};
