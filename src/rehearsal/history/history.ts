import type { Micros } from '../../common/micros.js';
import type { CallRecord } from './call-record.js';
import type { LeaveRecord } from './leave-record.js';
import type { RunRecord } from './run-record.js';
import type { PutRecord } from './setup-record.js';
import type { WatchRecord } from './watch-record.js';

/** Everything that callers, servers, operators and the platform wrote down. */
export type History = {
  readonly calls: CallRecord[];
  readonly runs: RunRecord[];
  /** The calls whose opening a server had to read anew, as `call@server`. */
  readonly coldCalls: Set<string>;
  readonly joins: { readonly server: string; readonly atUs: Micros }[];
  readonly puts: PutRecord[];
  readonly watches: WatchRecord[];
  readonly leaves: LeaveRecord[];
  readonly faults: { readonly name: string; readonly fromUs: Micros; readonly untilUs: Micros }[];
};

export const openHistory = (): History => ({ calls: [], runs: [], coldCalls: new Set(), joins: [], puts: [], watches: [], leaves: [], faults: [] });
