import type { Micros } from '../../common/micros.js';

/** A join request that waits until the node at its address has confirmed its identity to this leader. */
export type JoinCheck = {
  readonly identity: string;
  readonly address: string;
  readonly sinceUs: Micros;
  /** The nonce of the last `identify` message; a reply with an earlier nonce is ignored. */
  readonly nonce: string;
  readonly askedUs: Micros;
  /** When the identity was confirmed, if the membership change has to wait for another change. */
  readonly confirmedUs: Micros | undefined;
};
