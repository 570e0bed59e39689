import { ruleIndexOf } from '../../../setup/match/rule-index.js';
import type { Rule } from '../../../setup/document/rule.js';
import type { Setup } from '../../../setup/document/setup.js';
import type { ErrorType } from '../../../common/error-type.js';
import { countRequest } from '../../hotness/hotness.js';
import { positionOf } from '../../ring/position.js';
import type { DecisionEvent } from '../event/decision-event.js';
import type { DecisionView } from '../view/decision-view.js';
import { withEffects, type DecisionStep } from './decision-step.js';
import { withExchange } from './exchange-changes.js';
import { retryAfterUs } from './give-up.js';
import { dispatch } from './dispatch.js';

type ExchangeEvent = Extract<DecisionEvent, { readonly type: 'exchange' }>;

const refuse = (view: DecisionView, event: ExchangeEvent, error: ErrorType): DecisionStep =>
  withEffects(view, { type: 'refuse', exchange: event.exchange, error, retryAfterUs });

/** The rule of the exchange's kind, with the service that was drawn for it and the tier of its tenant. */
const ruleOf = (setup: Setup, { kind, service, tier }: ExchangeEvent): Rule | undefined => {
  const rule = ruleIndexOf(setup).byKind.get(kind);
  if (rule === undefined || (service === undefined && tier === undefined)) return rule;
  return { ...rule, service: service ?? rule.service, tier: tier ?? rule.tier };
};

/** Admits an exchange while its tier has room, and dispatches it. */
export const onExchange = (view: DecisionView, event: ExchangeEvent): DecisionStep => {
  if (view.draining) return refuse(view, event, 'draining');
  const setup = view.record?.setup;
  if (setup === undefined || view.list === undefined) return refuse(view, event, 'not-ready');
  const rule = ruleOf(setup, event);
  if (rule === undefined) return refuse(view, event, 'unknown-kind');
  const index = setup.tiers.findIndex((tier) => tier.name === rule.tier);
  const tier = setup.tiers[index];
  if (tier === undefined) return refuse(view, event, 'unknown-kind');
  const position = positionOf(event.prefix);
  const isModel = view.topology.services.get(rule.service)?.type === 'model';
  const hit = {
    prefix: event.prefix,
    position,
    service: rule.service,
    tierIndex: index,
    weight: tier.weight,
    atUs: view.atUs,
  };
  const countedView = isModel ? { ...view, hotness: countRequest(view.hotness, hit) } : view;
  if (view.exchanges.size >= Math.max(1, Math.floor(setup.pressure.slots * tier.share)))
    return refuse(countedView, event, 'over-pressure');
  return dispatch(
    withExchange(countedView, {
      exchange: event.exchange,
      rule,
      tierIndex: index,
      prefix: event.prefix,
      position,
      work: event.work,
      arrivedUs: view.atUs,
      estimate: { tokens: 0, waitUs: 0 },
      dueUs: view.atUs + Math.min(rule.budgetUs, event.budgetUs ?? rule.budgetUs),
      attempt: 0,
      triedServers: [],
      server: undefined,
      deliveredUs: 0,
      sent: false,
      started: false,
      fromPiece: 0,
      isNextRetry: false,
      mayHaveRun: false,
      sentCount: 0,
      leadsFlight: undefined,
      followsFlight: undefined,
      holdUntilUs: undefined,
    }),
    event.exchange,
  );
};
