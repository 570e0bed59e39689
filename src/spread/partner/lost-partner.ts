import type { Micros } from '../../common/micros.js';
import type { Partner } from './partner.js';

/** A partner that was given up; kept for a while, so that old news of it changes nothing and the two sides of a cut meet again. */
export type LostPartner = {
  readonly partner: Partner;
  readonly incarnation: number;
  readonly lostUs: Micros;
};
