import { positionEnd, positionOf } from '../../decision/ring/position.js';
import type { Rule } from '../document/rule.js';

/** The service of an exchange: `service`, or for a split rule a weighted choice by the hash of the exchange name. */
export const chooseService = (rule: Rule, exchange: string): string => {
  if (rule.split === undefined) return rule.service;
  const total = rule.split.reduce((sum, share) => sum + share.weight, 0);
  let remainder = (positionOf(exchange) / positionEnd) * total;
  for (const share of rule.split) {
    if (remainder < share.weight) return share.service;
    remainder -= share.weight;
  }
  return rule.service;
};
