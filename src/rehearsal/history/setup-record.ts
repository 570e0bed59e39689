import type { Micros } from '../../common/micros.js';

/** One put in the history of an operator. */
export type PutRecord = {
  readonly proposal: string;
  readonly name: string;
  readonly askedUs: Micros;
  readonly toldUs: Micros;
  readonly outcome: 'taken' | 'lost-race' | 'invalid' | 'unknown' | 'refused';
  readonly revision: number | undefined;
};
