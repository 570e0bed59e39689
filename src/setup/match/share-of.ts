import { positionEnd, positionOf } from '../../decision/ring/position.js';
import type { Rule } from '../document/rule.js';

/** The service of one exchange of a rule: by weight where the rule is split, drawn from the exchange's own name. */
export const shareOf = (rule: Rule, exchange: string): string => {
  if (rule.split === undefined) return rule.service;
  const total = rule.split.reduce((sum, share) => sum + share.weight, 0);
  let left = (positionOf(exchange) / positionEnd) * total;
  for (const share of rule.split) {
    if (left < share.weight) return share.service;
    left -= share.weight;
  }
  return rule.service;
};
