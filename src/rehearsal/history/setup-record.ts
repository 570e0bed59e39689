import type { Micros } from '../../common/micros.js';
import type { PutLater } from './put-later.js';

/** One put in the history of an operator. */
export type PutRecord = {
  readonly proposal: string;
  /** The revision that had to be the newest still; none if the operator did not say. */
  readonly expected: number | undefined;
  readonly name: string;
  /** Of the setup that was put. */
  readonly digest: string;
  /** Whether the operator meant it to be refused, since it does not hold. */
  readonly isFaulty: boolean;
  readonly askedUs: Micros;
  readonly toldUs: Micros;
  readonly outcome: 'taken' | 'lost-race' | 'invalid' | 'unknown' | 'refused';
  readonly revision: number | undefined;
  /** What the operator heard when it asked after an unknown one. */
  readonly later?: PutLater;
};
