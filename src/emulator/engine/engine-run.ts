import type { Micros } from '../../common/micros.js';
import type { EngineOrder } from './engine-order.js';

/** An order in an engine, waiting or in the batch. */
export type EngineRun = {
  readonly order: EngineOrder;
  /** Rises with the arrivals. */
  readonly arrival: number;
  readonly enterUs: Micros;
  /** Prompt tokens and put-back tokens that are still to be read. */
  readonly toRead: number;
  /** Tokens in memory that are this run's alone. */
  readonly ownTokens: number;
  /** Kept parts that it uses. */
  readonly pinned: readonly string[];
  readonly written: number;
  readonly hasBegun: boolean;
};
