import type { PartnerState } from './partner-state.js';
import type { Partner } from './partner.js';

/** A membership update, as in SWIM. A peer raises its incarnation to refute a wrong update about itself. */
export type PartnerNews = {
  readonly partner: Partner;
  readonly incarnation: number;
  readonly state: PartnerState;
};
