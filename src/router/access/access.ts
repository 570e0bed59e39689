import type { Rule } from '../../setup/document/rule.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Tenant } from '../../setup/document/tenant.js';
import { tenantOfKey } from '../../setup/match/tenant-of-key.js';

/** The result of authenticating a request. */
export type Access =
  /** The configuration has no tenants; API keys are ignored. */
  | { readonly type: 'open' }
  /** The rule is public, and the request carries no tenant's key. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'tenant'; readonly tenant: Tenant }
  /** The rule requires a tenant's key, and the request carries none. */
  | { readonly type: 'denied' };

/** Authenticates a request by its API key against one configuration. */
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

/** The name of the authenticated tenant, if any. */
export const tenantNameOf = (access: Access): string | undefined =>
  access.type === 'tenant' ? access.tenant.name : undefined;

/** Whether two authentications of one request gave the same tenant, or no tenant both times; false once the second is denied. */
export const isSameTenant = (first: Access, second: Access): boolean =>
  second.type !== 'denied' && tenantNameOf(first) === tenantNameOf(second);
