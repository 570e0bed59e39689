import type { Micros } from '../../common/micros.js';
import type { PeerRole } from '../../spread/peer/peer-role.js';

/** When a whole reading began, on the fleet's time line, and the reader's key. */
export type ReadMark = {
  readonly atUs: Micros;
  readonly by: string;
};

/** A reader's key; the lesser key precedes: core machines before routers, then by name. */
export const readerKeyOf = ({ role, node }: { readonly role: PeerRole; readonly node: string }): string =>
  `${role}/${node}`;

/** The fresher of two marks. */
export const laterMark = (left: ReadMark | undefined, right: ReadMark | undefined): ReadMark | undefined => {
  if (left === undefined || right === undefined) return left ?? right;
  if (left.atUs !== right.atUs) return left.atUs > right.atUs ? left : right;
  return left.by <= right.by ? left : right;
};
