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

type Attempted = Extract<DecisionEvent, { readonly type: 'sent' | 'firstPiece' | 'done' | 'failed' }>;
type Failed = Extract<DecisionEvent, { readonly type: 'failed' }>;

/** The exchange that an event of a try speaks of; late events of former tries speak of none. */
const current = (view: DecisionView, event: Attempted): ExchangeView | undefined => {
  const exchange = view.exchanges.get(event.exchange);
  return exchange !== undefined && exchange.server !== undefined && exchange.attempt === event.attempt
    ? exchange
    : undefined;
};

const releaseAll = (view: DecisionView, followers: readonly string[]): DecisionStep =>
  overAll(still(view), followers, direct);

const warmedAll = (view: DecisionView, server: ServerKey, { prefix, work }: ExchangeView): DecisionView =>
  prefixesOf(prefix, work).reduce((reachedView, held) => warmed(reachedView, server, held), view);

const sampled = (view: DecisionView, { rule, given, deliveredUs, started }: ExchangeView): DecisionView =>
  started
    ? view
    : withRateSample(view, {
        service: rule.service,
        tokens: given.tokens,
        waitUs: given.waitUs,
        tookUs: view.atUs - deliveredUs,
      });

export const onSent = (view: DecisionView, event: Attempted): DecisionStep => {
  const exchange = current(view, event);
  if (exchange === undefined || exchange.sent) return still(view);
  const triedView = exchange.nextIsExtra ? view : withTry(view, exchange.rule.service, false);
  return still(withExchange(triedView, { ...exchange, sent: true, sends: exchange.sends + 1, nextIsExtra: false }));
};

export const onFirstPiece = (view: DecisionView, event: Attempted): DecisionStep => {
  const exchange = current(view, event);
  if (exchange?.server === undefined) return still(view);
  const landing = landed(warmedAll(sampled(view, exchange), exchange.server, exchange), exchange);
  const startedExchange = landing.view.exchanges.get(exchange.exchange) ?? exchange;
  return releaseAll(withExchange(landing.view, { ...startedExchange, started: true }), landing.followers);
};

export const onDone = (view: DecisionView, event: Attempted): DecisionStep => {
  const exchange = current(view, event);
  if (exchange?.server === undefined) return still(view);
  const landing = landed(warmedAll(view, exchange.server, exchange), exchange);
  const endedExchange = landing.view.exchanges.get(exchange.exchange) ?? exchange;
  return releaseAll(withoutExchange(landing.view, endedExchange), landing.followers);
};

/** What to do after a broken try: nothing left means try elsewhere; else the rule of the kind decides. */
export const onFailed = (view: DecisionView, event: Failed): DecisionStep => {
  const exchange = current(view, event);
  if (exchange === undefined) return still(view);
  const wasOffered = event.sent || exchange.sent;
  const wasSent = wasOffered && event.notRun !== true;
  const wasStarted = event.pieces > 0 || exchange.started;
  const landing = landed(view, exchange);
  const landedExchange = {
    ...(landing.view.exchanges.get(exchange.exchange) ?? exchange),
    sent: wasSent,
    mayHaveRun: exchange.mayHaveRun || wasSent,
    started: wasStarted,
  };
  const releaseFollowers = (step: DecisionStep): DecisionStep =>
    andThen(step, (nextView) => releaseAll(nextView, landing.followers));
  if (event.error === 'key-revoked')
    return releaseFollowers(giveUp(withExchange(landing.view, landedExchange), landedExchange, 'unknown-key'));
  const mayRun =
    !wasSent || (view.policy.retries && exchange.rule.repeatable && (!wasStarted || exchange.rule.resumable));
  if (!mayRun)
    return releaseFollowers(giveUp(withExchange(landing.view, landedExchange), landedExchange, 'outcome-unknown'));
  const freedView = withoutServer(landing.view, landedExchange);
  const freedExchange = freedView.exchanges.get(exchange.exchange) ?? landedExchange;
  const retriedView = withExchange(freedView, {
    ...freedExchange,
    fromPiece: event.pieces,
    nextIsExtra: wasOffered || exchange.nextIsExtra,
    holdUntilUs: wasStarted ? view.atUs : freedExchange.holdUntilUs,
  });
  return releaseFollowers(direct(retriedView, exchange.exchange));
};

export const onAbandoned = (view: DecisionView, exchangeName: string): DecisionStep => {
  const exchange = view.exchanges.get(exchangeName);
  if (exchange === undefined) return still(view);
  const freedView = unfollowed(view, exchange);
  const landing = landed(freedView, freedView.exchanges.get(exchangeName) ?? exchange);
  const endedExchange = landing.view.exchanges.get(exchangeName) ?? exchange;
  return releaseAll(withoutExchange(landing.view, endedExchange), landing.followers);
};
