import type { Micros } from '../../common/micros.js';
import type { ServerState } from './server-state.js';

/** One server as the platform lists it; its times are the platform's own. */
export type ListedServer = {
  readonly id: string;
  readonly incarnation: string;
  readonly service: string;
  readonly address: string;
  readonly locality: string;
  readonly listedAtUs: Micros;
  readonly state: ServerState;
  readonly leavingAtUs?: Micros;
  /** When a whole reading first lacked it; only tombstones of asked lists have it. */
  readonly goneAtUs?: Micros;
  /** How many exchanges it takes at once, where the platform tells. */
  readonly slots?: number;
  /** The version of the weights that the server runs. */
  readonly weights?: string;
  readonly weightsAtUs?: Micros;
};
