import { itemText } from '../document/canonical-text.js';
import type { SetupRecord } from '../document/setup-record.js';

/** A list with the former items in place of equal ones; the former list itself where all are equal. */
const sharedList = <T extends object>(former: readonly T[], next: readonly T[]): readonly T[] => {
  const formerItems = new Map(former.map((item) => [itemText(item), item]));
  const items = next.map((item) => formerItems.get(itemText(item)) ?? item);
  const isSame = items.length === former.length && items.every((item, place) => item === former[place]);
  return isSame ? former : items;
};

/** A newer record with everything that did not change taken from the former one, so that both hold it once. */
export const sharedRecord = (former: SetupRecord | undefined, next: SetupRecord): SetupRecord =>
  former === undefined
    ? next
    : {
        ...next,
        setup: {
          ...next.setup,
          services: sharedList(former.setup.services, next.setup.services),
          tiers: sharedList(former.setup.tiers, next.setup.tiers),
          rules: sharedList(former.setup.rules, next.setup.rules),
          ...(next.setup.tenants === undefined
            ? {}
            : { tenants: sharedList(former.setup.tenants ?? [], next.setup.tenants) }),
        },
        epochs: sharedList(former.epochs, next.epochs),
      };
