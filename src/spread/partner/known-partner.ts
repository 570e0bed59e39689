import type { Micros } from '../../common/micros.js';
import type { Partner } from './partner.js';

/** A partner that is thought to live. */
export type KnownPartner = {
  readonly partner: Partner;
  readonly incarnation: number;
  /** When it was last heard here, or heard of. */
  readonly heardUs: Micros;
  /** Since when it is under suspicion; undefined while it is not. */
  readonly suspectUs: Micros | undefined;
};
