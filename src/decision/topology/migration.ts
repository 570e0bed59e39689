import type { Micros } from '../../common/micros.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Warmup } from '../../setup/document/warmup.js';
import type { Range } from '../ring/range.js';
import type { MigrationType } from './migration-type.js';

/** A planned change of a ring: its ranges are known beforehand, it is paced, and it takes effect at a known time. */
export type Migration = {
  readonly type: MigrationType;
  readonly name: string;
  /** The server that joins or leaves; undefined for a rebalance. */
  readonly key: ServerKey | undefined;
  readonly fromUs: Micros;
  /** When the new ring takes effect. */
  readonly commitUs: Micros;
  /** When cold prefixes at the new owners are no longer paced. */
  readonly settledUs: Micros;
  readonly ranges: readonly Range[];
  readonly warmup: Warmup;
};
