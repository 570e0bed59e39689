import type { Micros } from '../../common/micros.js';
import type { Rule } from '../../setup/document/rule.js';

const mostUs: Micros = 5_000_000;

/** How long a claim is tried for: long enough for the core to find a new leader, and never half of the exchange's budget. */
export const claimBudgetOf = (rule: Rule): Micros => Math.min(mostUs, Math.floor(rule.budgetUs / 2));
