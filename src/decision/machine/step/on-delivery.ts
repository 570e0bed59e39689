import type { DecisionEvent } from '../event/decision-event.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { andThen, stepAll, withoutEffects, type DecisionStep } from './decision-step.js';
import { withExchange, withoutExchange, withoutServer } from './exchange-changes.js';
import { endFlight, leaveFlight } from './flights.js';
import { giveUp } from './give-up.js';
import { countAttempt } from './count-attempts.js';
import { dispatch } from './dispatch.js';
import { withCachedPrefix } from './cached-prefixes.js';
import { cacheablePrefixesOf, withRateSample } from '../../work/prefill-estimate.js';
import type { ServerKey } from '../../../servers/list/server-key.js';

type AttemptEvent = Extract<DecisionEvent, { readonly type: 'sent' | 'firstPiece' | 'done' | 'failed' }>;
type FailedEvent = Extract<DecisionEvent, { readonly type: 'failed' }>;

/** The exchange of an event about its running attempt; undefined for a late event about an earlier attempt. */
const exchangeOf = (view: DecisionView, event: AttemptEvent): ExchangeView | undefined => {
  const exchange = view.exchanges.get(event.exchange);
  return exchange !== undefined && exchange.server !== undefined && exchange.attempt === event.attempt
    ? exchange
    : undefined;
};

const releaseAll = (view: DecisionView, followers: readonly string[]): DecisionStep =>
  stepAll(withoutEffects(view), followers, dispatch);

const withCachedPrefixes = (view: DecisionView, server: ServerKey, { prefix, work }: ExchangeView): DecisionView =>
  cacheablePrefixesOf(prefix, work).reduce(
    (previousView, cached) => withCachedPrefix(previousView, server, cached),
    view,
  );

/** Samples the prefill rate of the service from the time to the first piece. */
const withFirstPieceSample = (
  view: DecisionView,
  { rule, estimate: prefill, deliveredUs, started }: ExchangeView,
): DecisionView =>
  started
    ? view
    : withRateSample(view, {
        service: rule.service,
        tokens: prefill.tokens,
        waitUs: prefill.waitUs,
        tookUs: view.atUs - deliveredUs,
      });

/** The running attempt was sent: from now on it may run. A first attempt counts towards the retry budget. */
export const onSent = (view: DecisionView, event: AttemptEvent): DecisionStep => {
  const exchange = exchangeOf(view, event);
  if (exchange === undefined || exchange.sent) return withoutEffects(view);
  const countedView = exchange.isNextRetry ? view : countAttempt(view, exchange.rule.service, false);
  return withoutEffects(
    withExchange(countedView, { ...exchange, sent: true, sentCount: exchange.sentCount + 1, isNextRetry: false }),
  );
};

/** The first piece shows that the prefill is done: the prefix is cached at the server, and the followers are dispatched. */
export const onFirstPiece = (view: DecisionView, event: AttemptEvent): DecisionStep => {
  const exchange = exchangeOf(view, event);
  if (exchange?.server === undefined) return withoutEffects(view);
  const ended = endFlight(
    withCachedPrefixes(withFirstPieceSample(view, exchange), exchange.server, exchange),
    exchange,
  );
  const startedExchange = ended.view.exchanges.get(exchange.exchange) ?? exchange;
  return releaseAll(withExchange(ended.view, { ...startedExchange, started: true }), ended.followers);
};

/** The exchange completed: it is removed, and its followers are dispatched if it led a flight to the end. */
export const onDone = (view: DecisionView, event: AttemptEvent): DecisionStep => {
  const exchange = exchangeOf(view, event);
  if (exchange?.server === undefined) return withoutEffects(view);
  const ended = endFlight(withCachedPrefixes(view, exchange.server, exchange), exchange);
  const endedExchange = ended.view.exchanges.get(exchange.exchange) ?? exchange;
  return releaseAll(withoutExchange(ended.view, endedExchange), ended.followers);
};

/**
 * Handles a failed attempt. If it cannot have run, the exchange is tried on another server; otherwise the rule of its
 * kind decides whether it may run again and, for a started stream whose position is known, whether it may resume there.
 */
export const onFailed = (view: DecisionView, event: FailedEvent): DecisionStep => {
  const exchange = exchangeOf(view, event);
  if (exchange === undefined) return withoutEffects(view);
  const wasSent = event.sent || exchange.sent;
  const mayHaveRun = wasSent && event.notRun !== true;
  const wasStarted = event.pieces > 0 || exchange.started;
  const ended = endFlight(view, exchange);
  const failedExchange = {
    ...(ended.view.exchanges.get(exchange.exchange) ?? exchange),
    sent: mayHaveRun,
    mayHaveRun: exchange.mayHaveRun || mayHaveRun,
    started: wasStarted,
  };
  const releaseFollowers = (step: DecisionStep): DecisionStep =>
    andThen(step, (nextView) => releaseAll(nextView, ended.followers));
  if (event.error === 'key-revoked')
    return releaseFollowers(giveUp(withExchange(ended.view, failedExchange), failedExchange, 'unknown-key'));
  const canResume = exchange.rule.resumable && event.positionUnknown !== true;
  const canTryAgain = !mayHaveRun || (view.policy.retries && exchange.rule.repeatable && (!wasStarted || canResume));
  if (!canTryAgain)
    return releaseFollowers(giveUp(withExchange(ended.view, failedExchange), failedExchange, 'outcome-unknown'));
  const freedView = withoutServer(ended.view, failedExchange);
  const freedExchange = freedView.exchanges.get(exchange.exchange) ?? failedExchange;
  const retriedView = withExchange(freedView, {
    ...freedExchange,
    fromPiece: event.pieces,
    isNextRetry: wasSent || exchange.isNextRetry,
    holdUntilUs: wasStarted ? view.atUs : freedExchange.holdUntilUs,
  });
  return releaseFollowers(dispatch(retriedView, exchange.exchange));
};

/** The client went away: the exchange ends without a final decision, and its followers are dispatched. */
export const onAbandoned = (view: DecisionView, id: string): DecisionStep => {
  const exchange = view.exchanges.get(id);
  if (exchange === undefined) return withoutEffects(view);
  const freedView = leaveFlight(view, exchange);
  const ended = endFlight(freedView, freedView.exchanges.get(id) ?? exchange);
  const endedExchange = ended.view.exchanges.get(id) ?? exchange;
  return releaseAll(withoutExchange(ended.view, endedExchange), ended.followers);
};
