import type { PartnerRole } from './partner-role.js';

/** A process of the fleet, as it describes itself to the others. */
export type Partner = {
  /** The name of the node. */
  readonly node: string;
  readonly role: PartnerRole;
  /** Where it accepts links from peers, as `IP:port`. */
  readonly address: string;
  /** Where it serves HTTP, as `IP:port`. */
  readonly http: string;
  readonly locality: string;
};
