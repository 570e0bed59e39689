import type { Micros } from '../../common/micros.js';

/** When the platform first showed a server as leaving. */
export type LeaveRecord = {
  readonly server: string;
  readonly incarnation: string;
  readonly shownUs: Micros;
};
