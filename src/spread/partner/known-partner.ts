import type { Micros } from '../../common/micros.js';
import type { Partner } from './partner.js';

/** A partner and when anybody last heard it. */
export type KnownPartner = {
  readonly partner: Partner;
  readonly heardUs: Micros;
};
