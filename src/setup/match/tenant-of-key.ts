import type { Setup } from '../document/setup.js';
import type { Tenant } from '../document/tenant.js';

const indexCache = new WeakMap<readonly Tenant[], ReadonlyMap<string, Tenant>>();

const indexOf = (tenants: readonly Tenant[]): ReadonlyMap<string, Tenant> => {
  const cachedIndex = indexCache.get(tenants);
  if (cachedIndex !== undefined) return cachedIndex;
  const index = new Map<string, Tenant>();
  for (const tenant of tenants) for (const key of tenant.keys) index.set(key, tenant);
  indexCache.set(tenants, index);
  return index;
};

/**
 * The tenant that owns an API key; undefined if none does. One look-up in an index, which is built once for each list
 * of tenants; configurations with equal tenants share one list.
 */
export const tenantOfKey = ({ tenants }: Pick<Setup, 'tenants'>, key: string): Tenant | undefined =>
  tenants === undefined ? undefined : indexOf(tenants).get(key);
