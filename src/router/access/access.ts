import type { Rule } from '../../setup/document/rule.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Tenant } from '../../setup/document/tenant.js';
import { tenantOfKey } from '../../setup/match/tenant-of-key.js';

/** Who a request comes from, as far as the configuration tells. */
export type Access =
  /** The configuration has no tenants: whatever key a request carries is not looked at. */
  | { readonly type: 'open' }
  /** The route is public, and the request carries no key of a tenant. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'tenant'; readonly tenant: Tenant }
  /** The request needs the key of a tenant and has none. */
  | { readonly type: 'denied' };

/** Authenticates a request by its API key, under one configuration. */
export const accessOf = (
  setup: Pick<Setup, 'tenants'>,
  rule: Pick<Rule, 'public'>,
  apiKey: string | undefined,
): Access => {
  if (setup.tenants === undefined) return { type: 'open' };
  const tenant = apiKey === undefined ? undefined : tenantOfKey(setup, apiKey);
  if (tenant !== undefined) return { type: 'tenant', tenant };
  return rule.public === true ? { type: 'anonymous' } : { type: 'denied' };
};

/** The name of the tenant that a request comes from, if it comes from one. */
export const tenantNameOf = (access: Access): string | undefined =>
  access.type === 'tenant' ? access.tenant.name : undefined;

/** Whether two looks at one request found the same caller: the same tenant, or none both times. */
export const isSameCaller = (first: Access, second: Access): boolean =>
  second.type !== 'denied' && tenantNameOf(first) === tenantNameOf(second);
