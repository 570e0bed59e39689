import type { DecisionView } from '../machine/view/decision-view.js';
import type { ExchangeView } from '../machine/view/exchange-view.js';
import { readUsOf } from './busy.js';

const plain = 5;

/** How urgent an exchange is at its server, from 0, the most, to 9: what is soon read goes before what takes long. */
export const urgencyOf = (view: DecisionView, exchange: ExchangeView, tokens: number): number | undefined => {
  if (exchange.work === undefined || !view.policy.urgency) return undefined;
  const readUs = readUsOf(view, exchange.rule.service, tokens);
  if (readUs < 60_000) return plain - 3;
  return readUs < 300_000 ? plain - 1 : plain;
};
