import type { QuotaTolerance } from '../../quota/quota-tolerance.js';
import type { NodeSettings } from './node-settings.js';

/** The settings of a control node. */
export type ControlSettings = NodeSettings & {
  /** The folder of its disk ring. */
  readonly data: string;
  /** Whether it may bootstrap a core with the other seeds while its disk is empty; true by default. */
  readonly founds?: boolean;
  /** The number of voters that the core should have; three by default. */
  readonly voters?: number;
  /** How precisely the quotas of tenants are enforced; `defaultTolerance` by default. */
  readonly quota?: QuotaTolerance;
  readonly ringFiles: number;
  readonly ringFileBytes: number;
};
