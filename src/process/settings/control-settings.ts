import type { NodeSettings } from './node-settings.js';

/** The settings of a core machine. */
export type ControlSettings = NodeSettings & {
  readonly data: string;
  readonly ringFiles: number;
  readonly ringFileBytes: number;
};
