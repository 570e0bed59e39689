import type { Micros } from '../../common/micros.js';
import type { LinkOptions } from '../../spread/link/link-options.js';

/** The settings that routers and control nodes have in common. */
export type NodeSettings = {
  readonly node: string;
  readonly locality: string;
  /** The address at which clients, operators and the platform reach it. */
  readonly http: string;
  /** The address at which its peers reach it. */
  readonly partners: string;
  /** The address to listen at for peers, if it differs because of address translation (NAT). */
  readonly partnersListen?: string;
  readonly seeds: readonly string[];
  /** The name of its fleet; frames of other fleets are dropped. Nodes without a name are in one fleet. */
  readonly fleet?: string;
  /** The memory that the process may use; `defaultMemoryBytes` by default. */
  readonly memoryBytes?: number;
  /** The time after a stop signal at which the process is killed; `defaultTerminationGraceUs` by default. */
  readonly terminationGraceUs?: Micros;
};

export const defaultMemoryBytes = 256 << 20;
export const defaultTerminationGraceUs: Micros = 8_000_000;

/** The options of the links between a node and its peers. */
export const linkOptionsOf = ({ partnersListen, fleet }: NodeSettings): LinkOptions => ({
  ...(partnersListen === undefined ? {} : { listenAddress: partnersListen }),
  ...(fleet === undefined ? {} : { fleet }),
});
