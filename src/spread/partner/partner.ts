import type { PartnerRole } from './partner-role.js';

/** Another process of the system, as it tells of itself. */
export type Partner = {
  readonly node: string;
  readonly role: PartnerRole;
  readonly address: string;
  readonly http: string;
  readonly locality: string;
};
