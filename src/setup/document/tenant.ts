import type { Quota } from './quota.js';

/** A customer of the fleet, who is known by the API keys that its requests carry. */
export type Tenant = {
  readonly name: string;
  /** The API keys of this tenant; none while all of them are revoked. */
  readonly keys: readonly string[];
  /** The priority tier of this tenant's requests, in place of the tier of their route. */
  readonly tier?: string;
  readonly quota?: Quota;
};
