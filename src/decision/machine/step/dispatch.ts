import { flightKeyOf } from '../../flight/flight.js';
import { takeSlot } from '../../pace/pace.js';
import type { Decision } from '../effect/decision.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { withEffects, withoutEffects, type DecisionStep } from './decision-step.js';
import { withExchange, addPressure } from './exchange-changes.js';
import { withFlight } from './flights.js';
import { giveUp } from './give-up.js';
import { uncachedTokensAt, waitUsOf, withPrefill } from '../../work/prefill-estimate.js';
import { urgencyOf } from '../../work/urgency.js';
import { choosePlacement } from './choose-placement.js';
import type { Placement } from './placement.js';
import { hasRetryBudget, countAttempt } from './count-attempts.js';

const hold = (view: DecisionView, exchange: ExchangeView, placement: Placement, leader: string): DecisionStep => {
  const flightKey = flightKeyOf(placement.server, exchange.prefix);
  const flight = view.flights.get(flightKey);
  const untilUs =
    exchange.holdUntilUs ?? Math.min(exchange.dueUs, view.atUs + (view.record?.setup.flight.boundUs ?? 0));
  const heldView = withExchange(view, { ...exchange, holdUntilUs: untilUs, followsFlight: flightKey });
  return withEffects(
    flight === undefined
      ? heldView
      : withFlight(heldView, flightKey, { ...flight, followers: [...flight.followers, exchange.exchange] }),
    {
      type: 'hold',
      exchange: exchange.exchange,
      behind: leader,
      server: placement.server,
      untilUs,
      reason: placement.reason,
    },
  );
};

const deliver = (view: DecisionView, exchange: ExchangeView, placement: Placement): DecisionStep => {
  const flightKey = flightKeyOf(placement.server, exchange.prefix);
  const leadsFlight = placement.reason.cold && !view.flights.has(flightKey);
  const attempt = exchange.attempt + 1;
  const { work } = exchange;
  const prefill = {
    tokens: work === undefined ? 0 : uncachedTokensAt(view, placement.server, work),
    waitUs: waitUsOf(view, placement.server),
  };
  const queuedView =
    work === undefined ? view : withPrefill(view, placement.server, exchange.rule.service, prefill.tokens);
  const countedView = exchange.isNextRetry ? countAttempt(queuedView, exchange.rule.service, true) : queuedView;
  const deliveredView = withExchange(addPressure(countedView, placement.server, 1), {
    ...exchange,
    attempt,
    server: placement.server,
    triedServers: [...exchange.triedServers, placement.server],
    deliveredUs: view.atUs,
    sent: false,
    estimate: prefill,
    leadsFlight: leadsFlight ? flightKey : undefined,
  });
  const pacedView =
    placement.paceSlot === undefined
      ? deliveredView
      : {
          ...deliveredView,
          pace: takeSlot(view.pace, placement.paceSlot.paceKey, view.atUs, placement.paceSlot.spanUs),
        };
  const decision: Decision = {
    type: 'deliver',
    exchange: exchange.exchange,
    attempt,
    server: placement.server,
    fromPiece: exchange.fromPiece,
    extra: exchange.isNextRetry,
    reason: placement.reason,
    ...(work === undefined
      ? {}
      : {
          tokens: prefill.tokens,
          busyUs: waitUsOf(queuedView, placement.server),
          urgency: urgencyOf(view, exchange, prefill.tokens),
        }),
  };
  return withEffects(
    leadsFlight ? withFlight(pacedView, flightKey, { leader: exchange.exchange, followers: [] }) : pacedView,
    decision,
  );
};

/**
 * Decides what happens next to an exchange: send it to a server, hold it behind a prefill of its prefix, or end it with an
 * error. Does nothing for an exchange that has a server or is held.
 */
export const dispatch = (view: DecisionView, id: string): DecisionStep => {
  const exchange = view.exchanges.get(id);
  if (exchange === undefined || exchange.server !== undefined || exchange.followsFlight !== undefined)
    return withoutEffects(view);
  if (view.startsNoAttempts) return giveUp(view, exchange, 'draining');
  if (exchange.sentCount >= (exchange.rule.mostTries ?? Number.POSITIVE_INFINITY))
    return giveUp(view, exchange, 'outcome-unknown');
  const placement = choosePlacement(view, exchange);
  if (placement === undefined) return giveUp(view, exchange, 'no-server');
  if (exchange.isNextRetry && !hasRetryBudget(view, exchange.rule.service))
    return giveUp(view, exchange, 'outcome-unknown');
  const flight = view.flights.get(flightKeyOf(placement.server, exchange.prefix));
  const canHold = view.policy.singleFlight && (exchange.holdUntilUs === undefined || view.atUs < exchange.holdUntilUs);
  return placement.reason.cold && flight !== undefined && canHold
    ? hold(view, exchange, placement, flight.leader)
    : deliver(view, exchange, placement);
};
