import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { ReasonType } from './reason-type.js';

/** The inputs of a placement, recorded to explain it. */
export type Reason = {
  readonly type: ReasonType;
  readonly kind: string;
  readonly tier: string;
  readonly service: string;
  readonly position: number;
  /** The arc that contains the prefix: of the migration if one decided, else of the ring. */
  readonly range: { readonly after: number; readonly upTo: number } | undefined;
  readonly owners: readonly ServerKey[];
  readonly migration: string | undefined;
  readonly commitUs: Micros | undefined;
  readonly cold: boolean;
  readonly pressure: number;
  readonly pressureBound: number;
};
