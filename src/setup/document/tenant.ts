import type { Quota } from './quota.js';

/** A customer of the fleet, identified by the API key in its requests. */
export type Tenant = {
  readonly name: string;
  /** The valid API keys; empty if all are revoked. */
  readonly keys: readonly string[];
  /** The priority tier of this tenant's requests; overrides the tier of the rule. */
  readonly tier?: string;
  readonly quota?: Quota;
};
