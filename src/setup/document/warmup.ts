import type { Micros } from '../../common/micros.js';

/** The figures of the warm-up design. */
export type Warmup = {
  readonly vnodes: number;
  readonly prefixesPerRange: number;
  /** The fleet's time between two prefills in one range. */
  readonly paceUs: Micros;
  /** The longest time from the first listing to the entry moment. */
  readonly boundUs: Micros;
  /** How long after the entry moment cold prefills stay paced. */
  readonly settleUs: Micros;
  /** After this long unused an opening counts as evicted. */
  readonly staleUs: Micros;
};
