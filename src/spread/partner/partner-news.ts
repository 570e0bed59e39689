import type { PartnerState } from './partner-state.js';
import type { Partner } from './partner.js';

/** A change of membership as it is handed on. A partner raises its incarnation to refute what is wrongly said of it. */
export type PartnerNews = {
  readonly partner: Partner;
  readonly incarnation: number;
  readonly state: PartnerState;
};
