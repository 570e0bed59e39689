import type { Micros } from '../../common/micros.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Warmup } from '../../setup/document/warmup.js';
import type { Range } from '../ring/range.js';
import type { MigrationType } from './migration-type.js';

/** A planned change from one ring to another: previewed, paced, committed at a known moment. */
export type Migration = {
  readonly type: MigrationType;
  readonly name: string;
  /** The server that joins or leaves; a rebalance has none. */
  readonly key: ServerKey | undefined;
  readonly fromUs: Micros;
  readonly commitUs: Micros;
  readonly settledUs: Micros;
  readonly ranges: readonly Range[];
  readonly warmup: Warmup;
};
