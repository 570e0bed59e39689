import type { QuotaTolerance } from '../../quota/quota-tolerance.js';
import type { NodeSettings } from './node-settings.js';

/** The settings of a core machine. */
export type ControlSettings = NodeSettings & {
  readonly data: string;
  /** Whether it may found a core with the other seeds while its disk is empty; true where it is not told. */
  readonly founds?: boolean;
  /** How many voters the core is to have; three where it is not told. */
  readonly voters?: number;
  /** How exactly the quotas of tenants are kept; `usualTolerance` where it is not told. */
  readonly quota?: QuotaTolerance;
  readonly ringFiles: number;
  readonly ringFileBytes: number;
};
