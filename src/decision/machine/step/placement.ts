import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { PaceKey } from '../../pace/pace.js';
import type { Reason } from '../effect/reason.js';

/** The server chosen for an exchange, and the pace slot that a delivery to it uses. */
export type Placement = {
  readonly server: ServerKey;
  readonly reason: Reason;
  readonly paceSlot: { readonly paceKey: PaceKey; readonly spanUs: Micros } | undefined;
};
