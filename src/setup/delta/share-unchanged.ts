import { itemJson } from '../document/canonical-json.js';
import type { SetupRecord } from '../document/setup-record.js';

/** The new list with equal items replaced by those of the old list; the old list itself if all are equal. */
const sharedList = <T extends object>(former: readonly T[], next: readonly T[]): readonly T[] => {
  const formerItems = new Map(former.map((item) => [itemJson(item), item]));
  const items = next.map((item) => formerItems.get(itemJson(item)) ?? item);
  const isSame = items.length === former.length && items.every((item, index) => item === former[index]);
  return isSame ? former : items;
};

/** A newer record that shares all unchanged items with the previous one, so that they are held in memory once. */
export const shareUnchanged = (former: SetupRecord | undefined, next: SetupRecord): SetupRecord =>
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
