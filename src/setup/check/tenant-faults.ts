import type { Fault } from '../../common/fault.js';
import type { Setup } from '../document/setup.js';
import type { Tenant } from '../document/tenant.js';

/** Visible characters only: the names of tenants travel in header fields. */
export const tenantNameForm = /^[\x21-\x7e]{1,255}$/;

/** Two tenants of one name, or with one key. Messages never quote a key: keys are secrets, and faults are logged. */
export const tenantIdentityFaults = (
  tenants: readonly Pick<Tenant, 'name' | 'keys'>[] | null | undefined,
): readonly Fault[] => {
  const firstNamed = new Map<string, number>();
  const firstHolders = new Map<string, number>();
  return (tenants ?? []).flatMap(({ name, keys }, index) => {
    const named = firstNamed.get(name) ?? index;
    firstNamed.set(name, named);
    const nameFaults =
      named === index ? [] : [{ path: `tenants[${index}].name`, message: `tenants[${named}] has the same name` }];
    const keyFaults = keys.flatMap((key, place) => {
      const holder = firstHolders.get(key) ?? index;
      firstHolders.set(key, holder);
      return holder === index
        ? []
        : [{ path: `tenants[${index}].keys[${place}]`, message: `tenants[${holder}] has the same key` }];
    });
    return [...nameFaults, ...keyFaults];
  });
};

/** Faults of tenants that concern more than one of them, or a tier. */
export const tenantFaults = ({ tenants = [], tiers }: Setup): readonly Fault[] => {
  const knownTiers = new Set(tiers.map((tier) => tier.name));
  const tierFaults = tenants.flatMap(({ tier }, index) =>
    tier === undefined || knownTiers.has(tier)
      ? []
      : [{ path: `tenants[${index}].tier`, message: `no tier is named ${tier}` }],
  );
  return [...tierFaults, ...tenantIdentityFaults(tenants)];
};
