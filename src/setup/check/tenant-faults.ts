import type { Fault } from '../../common/fault.js';
import type { Setup } from '../document/setup.js';
import type { Tenant } from '../document/tenant.js';

/** Visible ASCII characters only, since tenant names are sent in HTTP header fields. */
export const tenantNamePattern = /^[\x21-\x7e]{1,255}$/;

/** Duplicate tenant names and keys. Messages must not contain a key: keys are secrets, and faults are logged. */
export const tenantIdentityFaults = (
  tenants: readonly Pick<Tenant, 'name' | 'keys'>[] | null | undefined,
): readonly Fault[] => {
  const firstIndexByName = new Map<string, number>();
  const holderByKey = new Map<string, number>();
  return (tenants ?? []).flatMap(({ name, keys }, index) => {
    const firstIndex = firstIndexByName.get(name) ?? index;
    firstIndexByName.set(name, firstIndex);
    const nameFaults =
      firstIndex === index
        ? []
        : [{ path: `tenants[${index}].name`, message: `tenants[${firstIndex}] has the same name` }];
    const keyFaults = keys.flatMap((key, keyIndex) => {
      const holder = holderByKey.get(key) ?? index;
      holderByKey.set(key, holder);
      return holder === index
        ? []
        : [{ path: `tenants[${index}].keys[${keyIndex}]`, message: `tenants[${holder}] has the same key` }];
    });
    return [...nameFaults, ...keyFaults];
  });
};

/** Violations of constraints between tenants, and between tenants and tiers. */
export const tenantFaults = ({ tenants = [], tiers }: Setup): readonly Fault[] => {
  const knownTiers = new Set(tiers.map((tier) => tier.name));
  const tierFaults = tenants.flatMap(({ tier }, index) =>
    tier === undefined || knownTiers.has(tier)
      ? []
      : [{ path: `tenants[${index}].tier`, message: `no tier is named ${tier}` }],
  );
  return [...tierFaults, ...tenantIdentityFaults(tenants)];
};
