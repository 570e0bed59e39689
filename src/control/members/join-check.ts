import type { Micros } from '../../common/micros.js';

/** A join that waits until the address it names has said, to this leader, which identity lives there. */
export type JoinCheck = {
  readonly identity: string;
  readonly address: string;
  readonly sinceUs: Micros;
  /** Names the newest question; an answer to an older one does not count. */
  readonly nonce: string;
  readonly askedUs: Micros;
  readonly confirmedUs: Micros | undefined;
};
