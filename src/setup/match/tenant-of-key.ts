import type { Setup } from '../document/setup.js';
import type { Tenant } from '../document/tenant.js';

const knownIndexes = new WeakMap<readonly Tenant[], ReadonlyMap<string, Tenant>>();

const indexOf = (tenants: readonly Tenant[]): ReadonlyMap<string, Tenant> => {
  const known = knownIndexes.get(tenants);
  if (known !== undefined) return known;
  const index = new Map<string, Tenant>();
  for (const tenant of tenants) for (const key of tenant.keys) index.set(key, tenant);
  knownIndexes.set(tenants, index);
  return index;
};

/**
 * The tenant that holds a key: one look-up, however many tenants there are. The index is built once for each list of
 * tenants, and configurations that have the same tenants share one list.
 */
export const tenantOfKey = ({ tenants }: Pick<Setup, 'tenants'>, key: string): Tenant | undefined =>
  tenants === undefined ? undefined : indexOf(tenants).get(key);
