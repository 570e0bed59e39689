import type { Micros } from '../../common/micros.js';
import type { Rule } from '../../setup/document/rule.js';

const maxClaimUs: Micros = 5_000_000;

/** The time limit for a claim: long enough for the core to elect a new leader, and at most half of the exchange's budget. */
export const claimBudgetOf = (rule: Rule): Micros => Math.min(maxClaimUs, Math.floor(rule.budgetUs / 2));
