import type { Micros } from '../../common/micros.js';

/** What a node showed of itself when it was looked at. */
export type WatchRecord = {
  readonly node: string;
  readonly boot: number;
  readonly atUs: Micros;
  readonly ready: boolean;
  readonly revision: number;
  /** Of the setup that it shows as in force. */
  readonly digest: string | undefined;
  readonly version: number;
};
