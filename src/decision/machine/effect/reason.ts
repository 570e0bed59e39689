import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { ReasonType } from './reason-type.js';

/** Everything that decided where an exchange went. */
export type Reason = {
  readonly type: ReasonType;
  readonly kind: string;
  readonly tier: string;
  readonly service: string;
  readonly position: number;
  /** The arc of the ring, or of the migration, in which the opening lies. */
  readonly range: { readonly after: number; readonly upTo: number } | undefined;
  readonly owners: readonly ServerKey[];
  readonly migration: string | undefined;
  readonly commitUs: Micros | undefined;
  readonly cold: boolean;
  readonly pressure: number;
  readonly pressureBound: number;
};
