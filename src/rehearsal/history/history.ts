import type { Micros } from '../../common/micros.js';
import type { CallRecord } from './call-record.js';
import type { LeaveRecord } from './leave-record.js';
import type { NodeRecord } from './node-record.js';
import type { ReadRecord } from './read-record.js';
import type { RunRecord } from './run-record.js';
import type { ServerRecord } from './server-record.js';
import type { PutRecord } from './setup-record.js';
import type { TroubleRecord } from './trouble-record.js';
import type { TryRecord } from './try-record.js';
import type { WatchRecord } from './watch-record.js';

/** Everything that callers, servers, operators, the platform and whoever brings the faults wrote down. */
export type History = {
  readonly calls: CallRecord[];
  readonly runs: RunRecord[];
  readonly tries: TryRecord[];
  /** The calls whose opening a server had to read anew, as `call@server`. */
  readonly coldCalls: Set<string>;
  readonly joins: { readonly server: string; readonly atUs: Micros }[];
  readonly puts: PutRecord[];
  readonly reads: ReadRecord[];
  readonly watches: WatchRecord[];
  readonly leaves: LeaveRecord[];
  readonly nodes: NodeRecord[];
  readonly servers: ServerRecord[];
  readonly troubles: TroubleRecord[];
};

export const openHistory = (): History => ({
  calls: [],
  runs: [],
  tries: [],
  coldCalls: new Set(),
  joins: [],
  puts: [],
  reads: [],
  watches: [],
  leaves: [],
  nodes: [],
  servers: [],
  troubles: [],
});
