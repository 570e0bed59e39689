import type { Micros } from '../../common/micros.js';
import type { PeerRole } from '../../spread/peer/peer-role.js';

/** Identifies a complete reading: when it began, on the fleet's clock, and the key of the node that made it. */
export type ReadingStamp = {
  readonly atUs: Micros;
  readonly by: string;
};

/** Key by which competing pollers are ordered; the lesser key wins: control nodes before routers, then by name. */
export const pollerKeyOf = ({ role, node }: { readonly role: PeerRole; readonly node: string }): string =>
  `${role}/${node}`;

/** The later of two stamps; at the same moment, that of the lesser key. */
export const laterStamp = (
  left: ReadingStamp | undefined,
  right: ReadingStamp | undefined,
): ReadingStamp | undefined => {
  if (left === undefined || right === undefined) return left ?? right;
  if (left.atUs !== right.atUs) return left.atUs > right.atUs ? left : right;
  return left.by <= right.by ? left : right;
};
