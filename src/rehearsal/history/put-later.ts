import type { Micros } from '../../common/micros.js';

/** What became of an unknown put, as its operator was told later. */
export type PutLater = {
  readonly toldUs: Micros;
  readonly outcome: 'taken' | 'lost-race' | 'withdrawn';
  readonly revision: number | undefined;
};
