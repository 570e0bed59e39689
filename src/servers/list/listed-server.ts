import type { Micros } from '../../common/micros.js';
import type { ServerState } from './server-state.js';

/** One server of the list. Its stamps are the platform's in a pushed list, and the fleet's clock in a polled list. */
export type ListedServer = {
  readonly id: string;
  readonly incarnation: string;
  readonly service: string;
  readonly address: string;
  readonly locality: string;
  readonly listedAtUs: Micros;
  readonly state: ServerState;
  readonly leavingAtUs?: Micros;
  /** When a complete poll first lacked the server; only tombstones of polled lists have it. */
  readonly goneAtUs?: Micros;
  /** How many exchanges the server runs concurrently, if the platform states it. */
  readonly slots?: number;
  /** Version of the model weights that the server runs. */
  readonly weights?: string;
  readonly weightsAtUs?: Micros;
};
