import type { ServerKey } from '../../servers/list/server-key.js';
import type { Prefix } from '../ring/prefix.js';

/** A prefill that is under way: its leader went first, the followers wait for its first piece. */
export type Flight = {
  readonly leader: string;
  readonly followers: readonly string[];
};

export type FlightKey = string;

export const flightKeyOf = (key: ServerKey, prefix: Prefix): FlightKey => `${key}|${prefix}`;
