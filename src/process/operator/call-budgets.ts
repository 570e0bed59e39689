import type { Micros } from '../../common/micros.js';

/**
 * How long the core is tried for one call of an operator. Callers go on to another machine after one second of silence,
 * so an answer after that is never heard. Within it, waiting is worth more than an early refusal: an election takes
 * about a second at most, and a caller pauses after each refusal. The rest of the second is for the network and HTTP.
 */
export const callBudgetUs: Micros = 700_000;
/** Callers wait longer for large bodies; one goes to a majority and its disks at this many bytes a microsecond or more. */
const bytesPerMicrosecond = 1;
const maxProposeBudgetUs: Micros = 3_000_000;

/** How long a proposal with a document of so many characters is tried. */
export const proposeBudgetOf = (textChars: number): Micros =>
  Math.min(maxProposeBudgetUs, callBudgetUs + Math.floor(textChars / bytesPerMicrosecond));
