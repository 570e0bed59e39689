import type { Micros } from '../../common/micros.js';

/** The parameters of the warm-up of new servers. */
export type Warmup = {
  /** Virtual nodes of each server on the consistent-hash ring. */
  readonly vnodes: number;
  readonly prefixesPerRange: number;
  /** The interval between two prefills in one hash range, over the whole fleet. */
  readonly paceUs: Micros;
  /** The maximum time from the first listing of a server to its entry moment. */
  readonly boundUs: Micros;
  /** How long cold prefills remain paced after the entry moment. */
  readonly settleUs: Micros;
  /** A prompt prefix that was not used for this long counts as evicted. */
  readonly staleUs: Micros;
};
