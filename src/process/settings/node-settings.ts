import type { LinkOptions } from '../../spread/link/link-options.js';

/** The settings that every process has. */
export type NodeSettings = {
  readonly node: string;
  readonly locality: string;
  /** Where callers, operators and the platform reach it. */
  readonly http: string;
  /** Where its partners reach it. */
  readonly partners: string;
  /** Where it listens for them, if an address translation stands before it. */
  readonly partnersListen?: string;
  readonly seeds: readonly string[];
  /** The name of its fleet; nodes of other fleets are not listened to. One name for all where it is not told. */
  readonly fleet?: string;
  /** The memory that the process may use; `usualMemoryBytes` where it is not told. */
  readonly memoryBytes?: number;
};

/** The memory of a process that is told no bound. */
export const usualMemoryBytes = 256 << 20;

/** What the links of a node are told. */
export const linkOptionsOf = ({ partnersListen, fleet }: NodeSettings): LinkOptions => ({
  ...(partnersListen === undefined ? {} : { listenAddress: partnersListen }),
  ...(fleet === undefined ? {} : { fleet }),
});
