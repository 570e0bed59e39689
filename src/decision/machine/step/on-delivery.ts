import type { DecisionEvent } from '../event/decision-event.js';
import type { DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { andThen, overAll, still, type DecisionStep } from './decision-step.js';
import { withExchange, withoutExchange, withoutServer } from './exchange-changes.js';
import { landed, unfollowed } from './flights.js';
import { giveUp } from './give-up.js';
import { withTry } from './retry-allowance.js';
import { direct } from './direct.js';
import { warmed } from './warmth.js';
import { prefixesOf, withRateSample } from '../../work/busy.js';
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
  overAll(still(view), followers, direct);

const withCachedPrefixes = (view: DecisionView, server: ServerKey, { prefix, work }: ExchangeView): DecisionView =>
  prefixesOf(prefix, work).reduce((previousView, cached) => warmed(previousView, server, cached), view);

/** Samples the prefill rate of the service from the time to the first piece. */
const withFirstPieceSample = (
  view: DecisionView,
  { rule, given: prefill, deliveredUs, started }: ExchangeView,
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
  if (exchange === undefined || exchange.sent) return still(view);
  const countedView = exchange.nextIsExtra ? view : withTry(view, exchange.rule.service, false);
  return still(withExchange(countedView, { ...exchange, sent: true, sends: exchange.sends + 1, nextIsExtra: false }));
};

/** The first piece shows that the prefill is done: the prefix is cached at the server, and the followers are dispatched. */
export const onFirstPiece = (view: DecisionView, event: AttemptEvent): DecisionStep => {
  const exchange = exchangeOf(view, event);
  if (exchange?.server === undefined) return still(view);
  const ended = landed(withCachedPrefixes(withFirstPieceSample(view, exchange), exchange.server, exchange), exchange);
  const startedExchange = ended.view.exchanges.get(exchange.exchange) ?? exchange;
  return releaseAll(withExchange(ended.view, { ...startedExchange, started: true }), ended.followers);
};

/** The exchange completed: it is removed, and its followers are dispatched if it led a flight to the end. */
export const onDone = (view: DecisionView, event: AttemptEvent): DecisionStep => {
  const exchange = exchangeOf(view, event);
  if (exchange?.server === undefined) return still(view);
  const ended = landed(withCachedPrefixes(view, exchange.server, exchange), exchange);
  const endedExchange = ended.view.exchanges.get(exchange.exchange) ?? exchange;
  return releaseAll(withoutExchange(ended.view, endedExchange), ended.followers);
};

/**
 * Handles a failed attempt. If it cannot have run, the exchange is tried on another server; otherwise the rule of its
 * kind decides whether it may run again and, for a started stream, whether it may resume at the next piece.
 */
export const onFailed = (view: DecisionView, event: FailedEvent): DecisionStep => {
  const exchange = exchangeOf(view, event);
  if (exchange === undefined) return still(view);
  const wasOffered = event.sent || exchange.sent;
  const wasSent = wasOffered && event.notRun !== true;
  const wasStarted = event.pieces > 0 || exchange.started;
  const ended = landed(view, exchange);
  const failedExchange = {
    ...(ended.view.exchanges.get(exchange.exchange) ?? exchange),
    sent: wasSent,
    mayHaveRun: exchange.mayHaveRun || wasSent,
    started: wasStarted,
  };
  const releaseFollowers = (step: DecisionStep): DecisionStep =>
    andThen(step, (nextView) => releaseAll(nextView, ended.followers));
  if (event.error === 'key-revoked')
    return releaseFollowers(giveUp(withExchange(ended.view, failedExchange), failedExchange, 'unknown-key'));
  const canTryAgain =
    !wasSent || (view.policy.retries && exchange.rule.repeatable && (!wasStarted || exchange.rule.resumable));
  if (!canTryAgain)
    return releaseFollowers(giveUp(withExchange(ended.view, failedExchange), failedExchange, 'outcome-unknown'));
  const freedView = withoutServer(ended.view, failedExchange);
  const freedExchange = freedView.exchanges.get(exchange.exchange) ?? failedExchange;
  const retriedView = withExchange(freedView, {
    ...freedExchange,
    fromPiece: event.pieces,
    nextIsExtra: wasOffered || exchange.nextIsExtra,
    holdUntilUs: wasStarted ? view.atUs : freedExchange.holdUntilUs,
  });
  return releaseFollowers(direct(retriedView, exchange.exchange));
};

/** The client went away: the exchange ends without a final decision, and its followers are dispatched. */
export const onAbandoned = (view: DecisionView, id: string): DecisionStep => {
  const exchange = view.exchanges.get(id);
  if (exchange === undefined) return still(view);
  const freedView = unfollowed(view, exchange);
  const ended = landed(freedView, freedView.exchanges.get(id) ?? exchange);
  const endedExchange = ended.view.exchanges.get(id) ?? exchange;
  return releaseAll(withoutExchange(ended.view, endedExchange), ended.followers);
};
