import type { Micros } from '../../common/micros.js';

/**
 * The time budget at the core for one call of an operator. Operators switch to another node after one second without a
 * response, so a later response is lost. Within that second waiting is better than an early refusal: an election takes
 * about a second at most, and operators pause after each refusal. The rest of the second is for the network and HTTP.
 */
export const callBudgetUs: Micros = 700_000;
/** Operators wait longer for large bodies. Replication to a majority and its disks has at least this throughput. */
const bytesPerMicrosecond = 1;
const maxProposeBudgetUs: Micros = 3_000_000;

/** The time budget for a proposal, by the length of its document. */
export const proposeBudgetOf = (textChars: number): Micros =>
  Math.min(maxProposeBudgetUs, callBudgetUs + Math.floor(textChars / bytesPerMicrosecond));
